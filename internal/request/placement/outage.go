package placement

import "github.com/cactusfork/cactusfork/pkg/clock"

// outageLimit is how long a change of primary usually takes at most, from the failure to the first write, in milliseconds.
const outageLimit = 2 * clock.Second

// isolationLimit is how long most groups must be without a primary before this daemon is held to be cut off, in milliseconds.
const isolationLimit clock.Millis = 600

// Isolated reports whether a daemon that sees these groups without a primary since then (0: with one) had better leave its callers to other daemons; one that did already goes on until most groups have a primary again.
func Isolated(since []clock.Millis, now clock.Millis, already bool) bool {
	limit := isolationLimit
	if already {
		limit = 0
	}
	out := 0
	for _, t := range since {
		if t > 0 && now-t >= limit {
			out++
		}
	}
	return 2*out > len(since)
}

// Hopeless reports whether a group has been without a primary since then for so long that work is better refused at once, so that its caller can try another daemon; 0 means that it has one.
func Hopeless(since, now clock.Millis) bool { return since > 0 && now-since > outageLimit }
