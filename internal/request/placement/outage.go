package placement

import "github.com/cactusfork/cactusfork/pkg/clock"

// maxFailoverTime is the usual upper bound of a failover from the failure to the first write, in milliseconds.
const maxFailoverTime = 2 * clock.Second

// isolationDelay is how long most groups must be without a primary before a daemon counts as isolated, in milliseconds.
const isolationDelay clock.Millis = 600

// Isolated reports whether a daemon appears to be cut off from the primaries and should leave its callers to other daemons.
// since holds, for each group, the time since which it has no primary; 0 means that it has one.
// A daemon that was isolated stays so until most groups have a primary again.
func Isolated(since []clock.Millis, now clock.Millis, wasIsolated bool) bool {
	limit := isolationDelay
	if wasIsolated {
		limit = 0
	}
	withoutPrimary := 0
	for _, t := range since {
		if t > 0 && now-t >= limit {
			withoutPrimary++
		}
	}
	return 2*withoutPrimary > len(since)
}

// ShouldFailFast reports whether a group has been without a primary since the given time for longer than a failover usually takes.
// Work for it is then refused at once, which lets the caller try another daemon. A since of 0 means that the group has a primary.
//
// No primary is replaced while the store is away, so a failover begins anew at its return: storeSince, which is 0 while it is away.
// Callers that are refused then have used up their retries within a fraction of the time that the failover still takes.
func ShouldFailFast(since, storeSince, now clock.Millis) bool {
	return since > 0 && now-max(since, storeSince) > maxFailoverTime
}
