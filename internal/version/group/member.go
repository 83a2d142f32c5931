package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// member is this daemon's state of one target.
type member struct {
	// status is the last known state, requested at requestedAt; known is false before the first one.
	status      Status
	known       bool
	requestedAt clock.Millis
	leaving     bool

	// failures counts the failed requests since the last reply, and hardFailures those of them that were refused or reset.
	failures               int
	hardFailures           int
	failingSince           clock.Millis
	lastFailureRequestedAt clock.Millis
	// ignoreBefore is the end of this daemon's last pause; failures of requests sent before it are ignored.
	ignoreBefore clock.Millis

	// down is true while the target is suspect, and confirmed once its failure as primary is confirmed.
	down      bool
	downSince clock.Millis
	confirmed bool
	// viewsRequestedAt is when the peers were last asked for their view of the target; 0 if never.
	viewsRequestedAt clock.Millis
	peerViews        map[DaemonID]peerView

	// followPending is true while the target should be ordered to follow, at followAt.
	followPending bool
	followAt      clock.Millis
}

type peerView struct {
	reachability Reachability
	requestedAt  clock.Millis
}

// writeTerm returns the term at which a primary writes, or 0 for a replica; a promise alone does not change it.
func (s Status) writeTerm() position.Term {
	if !s.Primary {
		return 0
	}
	return max(s.Received.Term, s.Applied.Term)
}

// supersedes reports whether s can only be later than old, regardless of when either was requested.
func (s Status) supersedes(old Status) bool {
	return s.Promise > old.Promise || s.writeTerm() > max(old.writeTerm(), old.Received.Term)
}

// observe stores a status and reports whether it is newer than the known one.
func (t *member) observe(requestedAt clock.Millis, s Status) bool {
	if t.known && requestedAt <= t.requestedAt && !s.supersedes(t.status) {
		return false
	}
	if s.Promise < t.status.Promise {
		s.Promise, s.Holder = t.status.Promise, t.status.Holder
	}
	t.status = s
	t.known = true
	t.requestedAt = max(t.requestedAt, requestedAt)
	t.dropOldFailures()
	return true
}

// dropOldFailures removes the failures that are older than the last reply.
func (t *member) dropOldFailures() {
	if t.failures == 0 || t.requestedAt < t.failingSince {
		return
	}
	if t.requestedAt >= t.lastFailureRequestedAt {
		t.clearFailures(t.ignoreBefore)
		return
	}
	t.failingSince = t.requestedAt
	t.failures = 1
	t.hardFailures = min(t.hardFailures, 1)
}

// observePromise stores a promise that is known from a rejected order.
func (t *member) observePromise(promise position.Term, holder DaemonID) {
	if promise > t.status.Promise {
		t.status.Promise, t.status.Holder = promise, holder
	}
}

// clearFailures removes all failures of the target and ignores failures of requests sent before now.
func (t *member) clearFailures(now clock.Millis) {
	t.failures, t.hardFailures = 0, 0
	t.ignoreBefore = now
	t.down, t.confirmed = false, false
	t.peerViews = nil
}

func (t *member) addFailure(requestedAt clock.Millis, c FailureCause) {
	if requestedAt < t.requestedAt || requestedAt < t.ignoreBefore {
		return
	}
	if t.failures == 0 {
		t.failingSince = requestedAt
	}
	t.failures++
	t.lastFailureRequestedAt = max(t.lastFailureRequestedAt, requestedAt)
	if c != Timeout {
		t.hardFailures++
	}
}

// up reports whether the target has answered and is not down.
func (t *member) up() bool { return t.known && !t.down }
