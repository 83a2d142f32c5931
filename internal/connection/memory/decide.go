package memory

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Limits are the size of an account and the rules by which callers are rejected.
type Limits struct {
	// Bytes is the size of the account.
	Bytes int64
	// Stall is how long a caller may make no progress while the account is short before it is closed.
	Stall clock.Millis
	// Wait is how long a buffer may wait for bytes while the account is short before its message is refused.
	Wait clock.Millis
}

const (
	// SessionBytes is the charge of an open session: its goroutine's stack, its first buffers and its records. 2,000 idle sessions of
	// `edge` took 9.9 KB of resident memory each.
	SessionBytes = 10 << 10
	// ordinaryBytes is what a caller holds at most to count as ordinary. It covers the buffers that a session keeps between messages.
	ordinaryBytes = 64 << 10
	// reserveDivisor is the share of an account that only ordinary callers use, so that they are served while others fill the rest.
	reserveDivisor = 8
	accountPercent = 30
	mebibyte       = 1 << 20
)

// LimitsFor returns the limits for a VM with that memory, in MiB. The account is 30 % of it: the garbage collector's soft limit is
// 60 %, and garbage, uncharged records and the program itself need the rest.
func LimitsFor(memoryMB int) Limits {
	return Limits{Bytes: int64(memoryMB) * mebibyte * accountPercent / 100, Stall: clock.Second, Wait: clock.Second}
}

// MaxSessions returns the number of sessions that use five eighths of the account when all are idle. 136 MB allow 2,611 of them, which
// is more than the 2,300 of a VM with 3,000 descriptors.
func (l Limits) MaxSessions() int { return int(l.Bytes * 5 / 8 / SessionBytes) }

// allows reports whether a caller that would hold that much may have the account at used bytes.
func (l Limits) allows(used, holds int64) bool {
	if holds > ordinaryBytes {
		return used <= l.Bytes-l.Bytes/reserveDivisor
	}
	return used <= l.Bytes
}

// Holding is what one caller holds.
type Holding struct {
	Bytes int64
	// Since is when the caller last made progress: it completed a message or has read a reply, or has begun to hold bytes behind that.
	Since clock.Millis
	// Working is true while the daemon works on a message of the caller, which can make no progress then.
	Working bool
}

// Reject returns the indices of the callers to close so that need bytes come free.
//
// It handles messages that stop before their end and replies that are not read, which fill the account for good. Only callers without
// progress for the stall time are closed. Those come first that hold more than an ordinary caller, and among them the one with the
// largest product of bytes held and time without progress. Callers that hold no more than an ordinary one, such as idle sessions, are
// closed only if the bytes are for an ordinary caller.
func Reject(now clock.Millis, l Limits, need int64, ordinary bool, holdings []Holding) []int {
	var stalled []int
	for i, h := range holdings {
		if h.Working || h.Bytes <= ordinaryBytes && !ordinary {
			continue
		}
		if h.Bytes > SessionBytes && now-h.Since >= l.Stall {
			stalled = append(stalled, i)
		}
	}
	slices.SortStableFunc(stalled, func(i, j int) int {
		a, b := holdings[i], holdings[j]
		if la, lb := a.Bytes > ordinaryBytes, b.Bytes > ordinaryBytes; la != lb {
			if la {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Bytes*int64(now-b.Since), a.Bytes*int64(now-a.Since))
	})
	for n, i := range stalled {
		if need <= 0 {
			return stalled[:n]
		}
		need -= holdings[i].Bytes
	}
	return stalled
}
