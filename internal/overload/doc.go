// Package overload tests the daemons as processes under callers that make them retain memory and descriptors.
//
// Its loads and bounds are fixed. They check that the process lives, that its memory and its descriptors stay within its settings, and
// that it answers an ordinary request afterwards; they check no times. Its tests run one at a time and apart from other load.
package overload
