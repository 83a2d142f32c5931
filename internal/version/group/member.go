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

	// failing counts unanswered questions since the last answer, hard those refused or reset.
	failing   int
	hard      int
	failSince clock.Millis
	failAsked clock.Millis
	// deafUntil discards failures of questions asked before this daemon stood still.
	deafUntil clock.Millis

	down      bool
	downSince clock.Millis
	confirmed bool
	peersAt   clock.Millis
	views     map[DaemonID]peerView

	// loose is true while the target should be told to follow, from followDue on.
	loose     bool
	followDue clock.Millis
}

type peerView struct {
	answer  ViewAnswer
	askedAt clock.Millis
}

// writes is the term at which a primary writes; a promise alone does not change it.
func (s Status) writes() position.Term {
	if !s.Primary {
		return 0
	}
	return max(s.Received.Term, s.Applied.Term)
}

// newer reports whether s can only have been true after old, whenever it was asked.
func (s Status) newer(old Status) bool {
	return s.Promise > old.Promise || s.writes() > max(old.writes(), old.Received.Term)
}

// observe takes in a status and reports whether it is news.
func (t *member) observe(askedAt clock.Millis, s Status) bool {
	if t.known && askedAt <= t.askedAt && !s.newer(t.status) {
		return false
	}
	if s.Promise < t.status.Promise {
		s.Promise, s.Holder = t.status.Promise, t.status.Holder
	}
	t.status = s
	t.known = true
	t.askedAt = max(t.askedAt, askedAt)
	t.recover()
	return true
}

// recover drops the evidence that is older than the last answer.
func (t *member) recover() {
	if t.failing == 0 || t.askedAt < t.failSince {
		return
	}
	if t.askedAt >= t.failAsked {
		t.forgive(t.deafUntil)
		return
	}
	t.failSince = t.askedAt
	t.failing = 1
	t.hard = min(t.hard, 1)
}

// outrankedBy notes a promise of which only a refusal told.
func (t *member) outrankedBy(promise position.Term, holder DaemonID) {
	if promise > t.status.Promise {
		t.status.Promise, t.status.Holder = promise, holder
	}
}

// forgive drops the evidence against the target and discards failures of questions asked before now.
func (t *member) forgive(now clock.Millis) {
	t.failing, t.hard = 0, 0
	t.deafUntil = now
	t.down, t.confirmed = false, false
	t.views = nil
}

func (t *member) fail(askedAt clock.Millis, c FailureCause) {
	if askedAt < t.askedAt || askedAt < t.deafUntil {
		return
	}
	if t.failing == 0 {
		t.failSince = askedAt
	}
	t.failing++
	t.failAsked = max(t.failAsked, askedAt)
	if c != Timeout {
		t.hard++
	}
}

// up reports whether the target answers.
func (t *member) up() bool { return t.known && !t.down }
