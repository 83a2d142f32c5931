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

// The key prefixes of the objects that a holder keeps. It ignores objects with other keys.
const (
	Groups   platform.Key = "groups/"
	Services platform.Key = "services/"
)

// ErrSameVersion is reported if an object arrives with the version in force and another value. The value in force stays.
var ErrSameVersion = errors.New("object has the version in force but another value")

// ErrStoreBehind is reported if the platform's store has returned to a version before the objects in force.
var ErrStoreBehind = errors.New("version of the platform store is lower than before")

// Config holds the identity of this daemon and the limits of its calls to the platform.
type Config struct {
	ID         group.DaemonID
	DataCentre group.DataCentre
	// Watchers is the number of daemons in each data centre that watch the platform.
	Watchers int
	// CallsPerSecond and Burst are the rate and the size of the token bucket for calls to the platform.
	CallsPerSecond float64
	Burst          int
	// RecheckInterval is the time after which a daemon that does not watch checks again whether it has to.
	RecheckInterval clock.Millis
	// MinBackoff is the backoff after the first failed call. It doubles with each further failure up to MaxBackoff; jitter shortens it by
	// up to half.
	MinBackoff clock.Millis
	MaxBackoff clock.Millis
}

// Defaults returns the configuration of a daemon with the default limits.
func Defaults(id group.DaemonID, dc group.DataCentre) Config {
	return Config{
		ID:              id,
		DataCentre:      dc,
		Watchers:        2,
		CallsPerSecond:  2,
		Burst:           10,
		RecheckInterval: clock.Second,
		MinBackoff:      clock.Second / 4,
		MaxBackoff:      30 * clock.Second,
	}
}

// Dependencies holds the functions by which a holder uses the rest of the daemon. Validate, Report and NotifyPeers may be nil.
type Dependencies struct {
	Store *platform.Store
	// Live returns the other daemons that are considered live.
	Live func() []peer.Member
	// FetchFromPeers returns the objects of which a peer holds a newer version.
	FetchFromPeers func(ctx context.Context) ([]platform.Object, error)
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
	// Validate returns an error for an object that must not come into force. It is not called for tombstones.
	Validate func(o platform.Object) error
	// Report is called with the key and the version of each rejected object and the reason.
	Report func(key platform.Key, v platform.Version, err error)
	// NotifyPeers is called after the objects in force have changed, to inform the peers.
	NotifyPeers func(ctx context.Context)
}

// Counts holds the counters of a holder since its start.
type Counts struct {
	// Calls counts the calls made to the platform, Refused those not made because the budget was exhausted.
	Calls, Refused uint64
	// Older and Invalid count objects rejected for a lower version or by Validate. Conflicts counts objects with the version in force and
	// another value.
	Older, Invalid, Conflicts uint64
}

// Holder holds the published objects in force. The version of a key never decreases.
type Holder struct {
	cfg    Config
	clk    *clock.Clock
	deps   Dependencies
	budget *budget
	state  atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
	// rejected holds the last invalid version of each key, so that it is validated and reported only once.
	rejected map[platform.Key]platform.Version
	counts   Counts
}

// New returns a holder without objects.
func New(cfg Config, clk *clock.Clock, s Dependencies) *Holder {
	if s.Validate == nil {
		s.Validate = func(platform.Object) error { return nil }
	}
	if s.Report == nil {
		s.Report = func(platform.Key, platform.Version, error) {}
	}
	if s.NotifyPeers == nil {
		s.NotifyPeers = func(context.Context) {}
	}
	h := &Holder{
		cfg:      cfg,
		clk:      clk,
		deps:     s,
		budget:   newBudget(clk, cfg.CallsPerSecond, cfg.Burst),
		changed:  make(chan struct{}),
		rejected: map[platform.Key]platform.Version{},
	}
	h.state.Store(newSnapshot(map[platform.Key]platform.Object{}))
	return h
}

// Snapshot returns the objects in force.
func (h *Holder) Snapshot() *Snapshot { return h.state.Load() }

// Digest returns the digest of the objects in force, for comparison with peers.
func (h *Holder) Digest() peer.Digest { return h.Snapshot().Digest() }

// Newer returns the objects in force that are missing in held or newer than there.
func (h *Holder) Newer(held []peer.KeyVersion) []platform.Object { return h.Snapshot().newer(held) }

// Changed returns a channel that is closed at the next change. A caller that reads the channel before the snapshot misses no change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Counts returns the current values of the counters.
func (h *Holder) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.counts
	c.Calls = h.budget.calls.Load()
	c.Refused = h.budget.refused.Load()
	return c
}

// Apply puts those objects into force that are valid and newer than the ones in force, and reports whether there were any.
func (h *Holder) Apply(objects []platform.Object) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	accepted := map[platform.Key]platform.Object{}
	for _, o := range objects {
		if h.accept(old, accepted, o) {
			accepted[o.Key] = o
		}
	}
	if len(accepted) == 0 {
		return false
	}
	h.replace(old, accepted)
	return true
}

// replace stores a snapshot with the accepted objects and signals the change.
func (h *Holder) replace(old *Snapshot, accepted map[platform.Key]platform.Object) {
	list := make([]platform.Object, 0, len(accepted))
	for _, o := range accepted {
		list = append(list, o)
	}
	h.state.Store(old.with(list))
	close(h.changed)
	h.changed = make(chan struct{})
}

// accept reports whether o has to replace the object with its key in accepted or, if there is none, in old.
func (h *Holder) accept(old *Snapshot, accepted map[platform.Key]platform.Object, o platform.Object) bool {
	if !isKept(o.Key) || o.Version == 0 {
		return false
	}
	current, ok := accepted[o.Key]
	if !ok {
		current = old.objects[o.Key]
	}
	switch {
	case o.Version < current.Version:
		h.counts.Older++
		return false
	case o.Version == current.Version:
		h.checkSameVersion(current, o)
		return false
	case o.Version == h.rejected[o.Key]:
		return false
	}
	return h.valid(o)
}

// checkSameVersion reports a conflict if two objects of the same version have different values.
func (h *Holder) checkSameVersion(current, o platform.Object) {
	if bytes.Equal(current.Value, o.Value) {
		return
	}
	h.counts.Conflicts++
	h.deps.Report(o.Key, o.Version, ErrSameVersion)
}

// valid reports whether o may come into force, and records and reports a rejection.
func (h *Holder) valid(o platform.Object) bool {
	if deleted(o) {
		return true
	}
	err := h.deps.Validate(o)
	if err == nil {
		return true
	}
	h.counts.Invalid++
	h.rejected[o.Key] = o.Version
	h.deps.Report(o.Key, o.Version, fmt.Errorf("validate %s: %w", o.Key, err))
	return false
}

// isKept reports whether a holder keeps objects with the key.
func isKept(key platform.Key) bool {
	return strings.HasPrefix(string(key), string(Groups)) || strings.HasPrefix(string(key), string(Services))
}
