package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// member is what this daemon knows of one target.
type member struct {
	status  Status
	known   bool
	askedAt clock.Millis
	leaving bool

	// failures counts unanswered questions since the last answer, hardFailures those refused or reset.
	failures           int
	hardFailures       int
	failingSince       clock.Millis
	lastFailureAskedAt clock.Millis
	// ignoreBefore discards failures of questions asked before this daemon stood still.
	ignoreBefore clock.Millis

	down         bool
	downSince    clock.Millis
	confirmed    bool
	peersAskedAt clock.Millis
	peerViews    map[DaemonID]peerView

	// followPending is true while the target should be told to follow, from followAt on.
	followPending bool
	followAt      clock.Millis
}

type peerView struct {
	answer  ViewAnswer
	askedAt clock.Millis
}

// writeTerm is the term at which a primary writes; a promise alone does not change it.
func (s Status) writeTerm() position.Term {
	if !s.Primary {
		return 0
	}
	return max(s.Received.Term, s.Applied.Term)
}

// supersedes reports whether s can only have been true after old, whenever it was asked.
func (s Status) supersedes(old Status) bool {
	return s.Promise > old.Promise || s.writeTerm() > max(old.writeTerm(), old.Received.Term)
}

// observe takes in a status and reports whether it is news.
func (t *member) observe(askedAt clock.Millis, s Status) bool {
	if t.known && askedAt <= t.askedAt && !s.supersedes(t.status) {
		return false
	}
	if s.Promise < t.status.Promise {
		s.Promise, s.Holder = t.status.Promise, t.status.Holder
	}
	t.status = s
	t.known = true
	t.askedAt = max(t.askedAt, askedAt)
	t.dropOldFailures()
	return true
}

// dropOldFailures drops the evidence that is older than the last answer.
func (t *member) dropOldFailures() {
	if t.failures == 0 || t.askedAt < t.failingSince {
		return
	}
	if t.askedAt >= t.lastFailureAskedAt {
		t.clearFailures(t.ignoreBefore)
		return
	}
	t.failingSince = t.askedAt
	t.failures = 1
	t.hardFailures = min(t.hardFailures, 1)
}

// observePromise notes a promise of which only a refusal told.
func (t *member) observePromise(promise position.Term, holder DaemonID) {
	if promise > t.status.Promise {
		t.status.Promise, t.status.Holder = promise, holder
	}
}

// clearFailures drops the evidence against the target and discards failures of questions asked before now.
func (t *member) clearFailures(now clock.Millis) {
	t.failures, t.hardFailures = 0, 0
	t.ignoreBefore = now
	t.down, t.confirmed = false, false
	t.peerViews = nil
}

func (t *member) addFailure(askedAt clock.Millis, c FailureCause) {
	if askedAt < t.askedAt || askedAt < t.ignoreBefore {
		return
	}
	if t.failures == 0 {
		t.failingSince = askedAt
	}
	t.failures++
	t.lastFailureAskedAt = max(t.lastFailureAskedAt, askedAt)
	if c != Timeout {
		t.hardFailures++
	}
}

// up reports whether the target answers.
func (t *member) up() bool { return t.known && !t.down }
