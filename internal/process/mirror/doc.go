// Package mirror lets a few daemons of a data centre read the platform's objects for the others, so that the number of calls to the platform grows with the data centres and not with the daemons.
package mirror
