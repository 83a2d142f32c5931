// Package mirror lets a few daemons of a data centre read the platform's objects for the others, so that its calls grow with data centres and not with daemons.
package mirror
