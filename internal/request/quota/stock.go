package quota

import (
	"math"
	"slices"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// TokenLife is how long after the ask for it a token is valid, in milliseconds. Together with the operations of a window, the
	// tokens of this time before it stay within the tolerance of a tenth: 0.4 s of the rate out of 0.5 s.
	TokenLife clock.Millis = 400
	// ahead is the time of whose expected demand a daemon holds tokens, in milliseconds; half of TokenLife, so that few expire.
	ahead clock.Millis = 200
	// demandTime is the time constant of the average of a daemon's demand, in milliseconds; bursts last 3 s.
	demandTime clock.Millis = 500
	// SilentBackoff is how long an issuer that did not answer is not asked, in milliseconds.
	SilentBackoff clock.Millis = 500
	// minPause is how long a data centre whose part is used up is not asked at least, in milliseconds. Tokens gather meanwhile, and
	// an issuer is asked by each daemon 10 times a second at most for each workspace over its limit.
	minPause clock.Millis = 100
	// maxSilent is how many silent issuers of one data centre are waited for, one after the other.
	maxSilent = 2
	// maxAsk bounds the tokens of one ask.
	maxAsk = 1 << 20
	// UncheckedRetry is when a caller is told to come back when no issuer answers, in milliseconds.
	UncheckedRetry clock.Millis = 200
)

// Stock holds the tokens of a daemon and what the issuers have said. It is not safe for concurrent use.
type Stock struct {
	accounts map[workspace.ID]*account
	issuers  map[group.DaemonID]issuerState
	sweptAt  clock.Millis
}

// account is a workspace at the requester.
type account struct {
	// lots holds the tokens by the time of their expiry.
	lots []lot
	// demand is the decayed number of operations of the last demandTime as of demandAt.
	demand   float64
	demandAt clock.Millis
	limit    workspace.Limit
	// exhausted holds the time until which the part of a data centre has no token.
	exhausted map[group.DataCentre]clock.Millis
	// silent holds the data centre of each issuer that did not answer in the current round.
	silent []group.DataCentre
}

// lot is tokens of one grant.
type lot struct {
	expires    clock.Millis
	left, used int
}

// issuerState is what a requester knows of an issuer, for all workspaces.
type issuerState struct {
	silentUntil, notReadyUntil clock.Millis
}

// NewStock returns an empty stock.
func NewStock() *Stock {
	return &Stock{accounts: make(map[workspace.ID]*account), issuers: make(map[group.DaemonID]issuerState)}
}

// Record counts an operation as demand, whether it is admitted or not.
func (s *Stock) Record(now clock.Millis, w *workspace.Workspace) {
	a := s.account(now, w)
	a.demand = a.demandNow(now) + 1
	a.demandAt = now
}

// account returns the account of a workspace. A changed limit voids what the issuers said of the one before.
func (s *Stock) account(now clock.Millis, w *workspace.Workspace) *account {
	s.sweep(now)
	a := s.accounts[w.ID]
	if a == nil {
		a = &account{limit: w.Limit, demandAt: now, exhausted: make(map[group.DataCentre]clock.Millis)}
		s.accounts[w.ID] = a
	}
	if a.limit != w.Limit {
		a.limit = w.Limit
		clear(a.exhausted)
	}
	return a
}

// sweep drops what has not been used for a window. The configuration bounds the workspaces of the rest.
func (s *Stock) sweep(now clock.Millis) {
	if now < s.sweptAt+DefaultWindow {
		return
	}
	s.sweptAt = now
	for id, a := range s.accounts {
		if now >= a.demandAt+DefaultWindow {
			delete(s.accounts, id)
		}
	}
	for id, st := range s.issuers {
		if now >= st.silentUntil && now >= st.notReadyUntil {
			delete(s.issuers, id)
		}
	}
}

// demandNow returns the decayed number of operations.
func (a *account) demandNow(now clock.Millis) float64 {
	return a.demand * math.Exp(-float64(now-a.demandAt)/float64(demandTime))
}

// expected returns how many operations are expected within the time ahead.
func (a *account) expected(now clock.Millis) int {
	return int(a.demandNow(now) * float64(ahead) / float64(demandTime))
}

// held returns the number of valid tokens and drops the others.
func (a *account) held(now clock.Millis) int {
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool { return now >= l.expires })
	n := 0
	for _, l := range a.lots {
		n += l.left
	}
	return n
}

// Use takes a token for an operation, and reports whether there was one.
func (s *Stock) Use(now clock.Millis, w *workspace.Workspace) bool {
	a := s.account(now, w)
	if a.held(now) == 0 {
		return false
	}
	for i := range a.lots {
		if a.lots[i].left > 0 {
			a.lots[i].left--
			a.lots[i].used++
			return true
		}
	}
	return false
}

// Return gives back the token of an operation that was not run. arrived is when the operation asked for it: a token is valid for at
// most TokenLife from then, and a later return is ignored.
func (s *Stock) Return(now clock.Millis, w workspace.ID, arrived clock.Millis) {
	a := s.accounts[w]
	if a == nil || now >= arrived+TokenLife {
		return
	}
	for i := range a.lots {
		if a.lots[i].used > 0 && now < a.lots[i].expires {
			a.lots[i].used--
			a.lots[i].left++
			return
		}
	}
}

// Low reports whether tokens should be asked for before they are needed.
func (s *Stock) Low(now clock.Millis, w *workspace.Workspace) bool {
	a := s.account(now, w)
	return 2*a.held(now) < a.expected(now)
}

// Want returns how many tokens to ask for when that many operations wait.
func (s *Stock) Want(now clock.Millis, w *workspace.Workspace, waiting int) int {
	a := s.account(now, w)
	return min(max(waiting, waiting+a.expected(now)-a.held(now), 1), maxAsk)
}

// Target is the issuer to ask next.
type Target struct {
	Peer  placement.Peer
	Force bool
}

// Next returns the issuer to ask next out of those that Issuers returned, and false if none is left.
func (s *Stock) Next(now clock.Millis, w *workspace.Workspace, issuers [][]placement.Peer) (Target, bool) {
	a := s.account(now, w)
	for _, list := range issuers {
		if t, ok := s.nextOf(now, a, list); ok {
			return t, true
		}
	}
	return Target{}, false
}

// nextOf returns the issuer of one data centre to ask next.
func (s *Stock) nextOf(now clock.Millis, a *account, list []placement.Peer) (Target, bool) {
	if len(list) == 0 || now < a.exhausted[list[0].DataCentre] {
		return Target{}, false
	}
	silent := 0
	for _, c := range a.silent {
		if c == list[0].DataCentre {
			silent++
		}
	}
	if silent >= maxSilent {
		return Target{}, false
	}
	var notReady *placement.Peer
	for i := range list {
		st := s.issuers[list[i].ID]
		switch {
		case now < st.silentUntil:
		case now >= st.notReadyUntil:
			return Target{Peer: list[i]}, true
		case notReady == nil:
			notReady = &list[i]
		}
	}
	if notReady == nil {
		return Target{}, false
	}
	return Target{Peer: *notReady, Force: true}, true
}

// Answer records the answer to an ask for that many tokens, which was sent at sentAt.
func (s *Stock) Answer(now, sentAt clock.Millis, w *workspace.Workspace, t *Target, asked int, g Grant) {
	if g.NotReady && t.Force {
		// An issuer that does not grant even by force counts as silent, so that the next one is asked.
		s.Silent(now, w, t)
		return
	}
	if g.NotReady {
		st := s.issuers[t.Peer.ID]
		// All requesters return to it at the same time, so that no other issuer grants beside it.
		st.notReadyUntil = now + max(min(g.RetryAfter, ReadyDelay), 1)
		s.issuers[t.Peer.ID] = st
		return
	}
	a := s.account(now, w)
	if expires := sentAt + TokenLife; g.Tokens > 0 && now < expires {
		a.lots = append(a.lots, lot{expires: expires, left: min(g.Tokens, asked)})
		slices.SortStableFunc(a.lots, func(x, y lot) int { return int(x.expires - y.expires) })
	}
	if g.Tokens < asked {
		a.exhausted[t.Peer.DataCentre] = now + min(max(g.RetryAfter, minPause), DefaultWindow)
	}
}

// Silent records that an issuer did not answer.
func (s *Stock) Silent(now clock.Millis, w *workspace.Workspace, t *Target) {
	st := s.issuers[t.Peer.ID]
	st.silentUntil = now + SilentBackoff
	s.issuers[t.Peer.ID] = st
	a := s.account(now, w)
	a.silent = append(a.silent, t.Peer.DataCentre)
}

// EndRound ends a round of asks. Silent issuers are waited for again in the next one, once their backoff is over.
func (s *Stock) EndRound(now clock.Millis, w *workspace.Workspace) { s.account(now, w).silent = nil }

// RetryAfter returns the time until a data centre has the next token. It returns false if none has said so: then the limit can't
// be checked.
func (s *Stock) RetryAfter(now clock.Millis, w *workspace.Workspace, issuers [][]placement.Peer) (clock.Millis, bool) {
	a := s.account(now, w)
	var best clock.Millis
	for _, list := range issuers {
		if len(list) == 0 {
			continue
		}
		if d := a.exhausted[list[0].DataCentre] - now; d > 0 && (best == 0 || d < best) {
			best = d
		}
	}
	return best, best > 0
}
