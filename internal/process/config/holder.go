package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// The prefixes of the keys that are kept; objects under others are passed over.
const (
	Groups   platform.Key = "groups/"
	Services platform.Key = "services/"
)

// ErrSameVersion is reported when a key is published twice under one version with different values; the value held stays.
var ErrSameVersion = errors.New("another value under the version held")

// ErrStoreBehind is reported when the platform's store went back to before what is held.
var ErrStoreBehind = errors.New("platform's store is older than what is held")

// Config says who this daemon is and how it asks the platform.
type Config struct {
	ID         group.DaemonID
	DataCentre group.DataCentre
	// Watchers is the number of daemons of a data centre that watch the platform.
	Watchers int
	// CallsPerSecond and Burst bound the calls to the platform.
	CallsPerSecond float64
	Burst          int
	// Recheck is the time between two looks at who watches.
	Recheck clock.Millis
	// Backoff and MaxBackoff are the shortest and the longest wait after a failed call.
	Backoff    clock.Millis
	MaxBackoff clock.Millis
}

// Defaults returns the configuration of a daemon with the customary bounds.
func Defaults(id group.DaemonID, dc group.DataCentre) Config {
	return Config{
		ID:             id,
		DataCentre:     dc,
		Watchers:       2,
		CallsPerSecond: 2,
		Burst:          10,
		Recheck:        clock.Second,
		Backoff:        clock.Second / 4,
		MaxBackoff:     30 * clock.Second,
	}
}

// Seams are what the holder needs from the rest of the daemon; Validate, Report and Spread may be nil.
type Seams struct {
	Store *platform.Store
	// Live returns the other daemons held to run.
	Live func() []peer.Member
	// FetchFromPeers returns the objects that a peer holds newer than this daemon.
	FetchFromPeers func(ctx context.Context) ([]platform.Object, error)
	// Jitter returns a random number from 0 up to 1.
	Jitter func() float64
	// Validate returns why an object must not come into force; it is not asked about tombstones.
	Validate func(o platform.Object) error
	// Report is told of what was kept out and why.
	Report func(key platform.Key, v platform.Version, err error)
	// Spread is called after the objects in force have changed.
	Spread func(ctx context.Context)
}

// Counts are the events since the start of a holder.
type Counts struct {
	// Calls were made to the platform and Refused were not, for want of budget.
	Calls, Refused uint64
	// Older and Invalid objects were kept out; Conflicts had another value under the version held.
	Older, Invalid, Conflicts uint64
}

// Holder keeps the published objects in force; the version of a key never falls.
type Holder struct {
	cfg    Config
	clk    *clock.Clock
	seams  Seams
	budget *budget
	state  atomic.Pointer[Snapshot]

	mu       sync.Mutex
	changed  chan struct{}
	rejected map[platform.Key]platform.Version
	counts   Counts
}

// New returns a holder that holds nothing yet.
func New(cfg Config, clk *clock.Clock, s Seams) *Holder {
	if s.Validate == nil {
		s.Validate = func(platform.Object) error { return nil }
	}
	if s.Report == nil {
		s.Report = func(platform.Key, platform.Version, error) {}
	}
	if s.Spread == nil {
		s.Spread = func(context.Context) {}
	}
	h := &Holder{
		cfg:      cfg,
		clk:      clk,
		seams:    s,
		budget:   newBudget(clk, cfg.CallsPerSecond, cfg.Burst),
		changed:  make(chan struct{}),
		rejected: map[platform.Key]platform.Version{},
	}
	h.state.Store(newSnapshot(map[platform.Key]platform.Object{}))
	return h
}

// Snapshot returns the objects in force.
func (h *Holder) Snapshot() *Snapshot { return h.state.Load() }

// Digest sums up the objects in force, for comparison with peers.
func (h *Holder) Digest() peer.Digest { return h.Snapshot().Digest() }

// Newer returns the objects held that are newer than those in held.
func (h *Holder) Newer(held []peer.KeyVersion) []platform.Object { return h.Snapshot().newer(held) }

// Changed returns a channel that is closed at the next change; take it before the snapshot so as to miss none.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Counts returns the events counted so far.
func (h *Holder) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.counts
	c.Calls = h.budget.calls.Load()
	c.Refused = h.budget.refused.Load()
	return c
}

// Apply brings those objects into force that are valid and newer than what is held, and reports whether there were any.
func (h *Holder) Apply(objects []platform.Object) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	fresh := map[platform.Key]platform.Object{}
	for _, o := range objects {
		if h.accept(old, fresh, o) {
			fresh[o.Key] = o
		}
	}
	if len(fresh) == 0 {
		return false
	}
	h.replace(old, fresh)
	return true
}

func (h *Holder) replace(old *Snapshot, fresh map[platform.Key]platform.Object) {
	list := make([]platform.Object, 0, len(fresh))
	for _, o := range fresh {
		list = append(list, o)
	}
	h.state.Store(old.with(list))
	close(h.changed)
	h.changed = make(chan struct{})
}

// accept reports whether o is to come into force over what old and fresh hold.
func (h *Holder) accept(old *Snapshot, fresh map[platform.Key]platform.Object, o platform.Object) bool {
	if !kept(o.Key) || o.Version == 0 {
		return false
	}
	held, ok := fresh[o.Key]
	if !ok {
		held = old.objects[o.Key]
	}
	switch {
	case o.Version < held.Version:
		h.counts.Older++
		return false
	case o.Version == held.Version:
		h.compare(held, o)
		return false
	case o.Version == h.rejected[o.Key]:
		return false
	}
	return h.valid(o)
}

// compare reports two values under one version.
func (h *Holder) compare(held, o platform.Object) {
	if bytes.Equal(held.Value, o.Value) {
		return
	}
	h.counts.Conflicts++
	h.seams.Report(o.Key, o.Version, ErrSameVersion)
}

func (h *Holder) valid(o platform.Object) bool {
	if deleted(o) {
		return true
	}
	err := h.seams.Validate(o)
	if err == nil {
		return true
	}
	h.counts.Invalid++
	h.rejected[o.Key] = o.Version
	h.seams.Report(o.Key, o.Version, fmt.Errorf("keep %s out: %w", o.Key, err))
	return false
}

func kept(key platform.Key) bool {
	return strings.HasPrefix(string(key), string(Groups)) || strings.HasPrefix(string(key), string(Services))
}
