package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// peerPrefix is the key prefix of the entries by which daemons publish their addresses.
	peerPrefix store.Key = "cactusfork-daemons/"
	// secondPeerListDelay is the wait before the second list of daemons, by when daemons that start together have written their entries. peerListInterval is the wait between later lists.
	secondPeerListDelay = 2 * clock.Second
	peerListInterval    = 4 * clock.Second
	// maxPeerListAge is how old a mirror's list of daemons may be: two intervals of that mirror, and two of the mirror that it reads from.
	maxPeerListAge = 4 * peerListInterval
	// registerRetryPause is the wait before the store is asked again for the first list, in milliseconds. It also bounds the jitter of later waits.
	registerRetryPause clock.Millis = 500
	// leaveAttempts is how often a stopping daemon tries to mark its entry as leaving.
	leaveAttempts = 4
)

// peerEntry is a daemon's own entry in the store.
type peerEntry struct {
	Address string `json:"address"`
	// Mirror is the address at which the daemon serves what it has read of the store; empty when it serves nothing.
	Mirror     string           `json:"mirror,omitempty"`
	DataCentre group.DataCentre `json:"data-centre"`
	Leaving    bool             `json:"leaving"`
}

// ownEntry returns the entry that this daemon has to have.
func (d *Daemon) ownEntry() peerEntry {
	return peerEntry{
		Address: d.set.Daemon.PeerAddress, Mirror: d.set.Daemon.MirrorAddress,
		DataCentre: group.DataCentre(d.set.Daemon.DataCentre), Leaving: d.draining.Load(),
	}
}

// followPeers lists the daemons periodically. A list that is seconds old suffices, because sessions notice a stopped daemon by its silence.
func (d *Daemon) followPeers(ctx context.Context) {
	stale := d.dialStore("daemons", 0, true)
	count, version := -1, store.Version(0)
	// After a restart of the whole fleet, the first list holds the daemons that ran before it.
	for wait := clock.Millis(0); d.clk.Sleep(ctx, wait) == nil; {
		objects, listed, err := d.readPeers(ctx, stale, version)
		if err != nil {
			d.warn("listing daemons failed", err)
			wait = peerListInterval
			if d.peers.reads.Load() == 0 {
				wait = registerRetryPause
			}
			continue
		}
		version = listed
		all := d.parsePeers(objects)
		if !slices.Equal(all, *d.peers.list.Load()) {
			d.peers.list.Store(&all)
		}
		wait = peerListInterval
		if d.peers.reads.Add(1) == 1 {
			wait = secondPeerListDelay
		} else {
			wait += clock.Millis(rand.Int64N(int64(registerRetryPause)))
		}
		if len(all) != count {
			count = len(all)
			d.log.Info("number of known daemons changed", zap.Int("count", count), zap.Stringer("version", version))
		}
		d.register(ctx, objects, version)
	}
}

// readPeers returns the entries of all daemons and the version up to which they are current. It reads the changes after version from through a mirror if there is one, or else a list from the store.
func (d *Daemon) readPeers(ctx context.Context, stale *store.Store, from store.Version) ([]store.Object, store.Version, error) {
	requestedAt := d.clk.Now()
	r, err := d.readPeersFromMirror(ctx, from)
	if err != nil {
		r.Objects, r.Version, err = stale.List(ctx, peerPrefix)
		r.Full, r.Age = true, 0
	}
	if err != nil {
		return nil, 0, err
	}
	cache := d.caches[peerPrefix]
	cache.Apply(&r, requestedAt-r.Age)
	cached, _ := cache.Read(ctx, d.clk, 0, 0)
	return cached.Objects, cached.Version, nil
}

var errNoMirror = errors.New("no mirror serves this daemon")

// readPeersFromMirror reads the entries that changed after version from.
func (d *Daemon) readPeersFromMirror(ctx context.Context, from store.Version) (mirror.Result, error) {
	m, role := d.mirrorRole()
	if role != placement.MirrorClient {
		return mirror.Result{}, errNoMirror
	}
	r, err := d.mirrors.Read(ctx, m.MirrorAddress, peerPrefix, from, 0)
	if err == nil && r.Age > maxPeerListAge {
		err = errMirrorStale
	}
	if err != nil {
		d.log.Info("listing daemons through mirror failed", zap.String("mirror", string(m.ID)), zap.Int64("age-ms", int64(r.Age)), zap.Error(err))
	}
	return r, err
}

// parsePeers returns the daemons that accept sessions, and skips malformed entries.
func (d *Daemon) parsePeers(objects []store.Object) []placement.Peer {
	list := make([]placement.Peer, 0, len(objects))
	for _, o := range objects {
		var e peerEntry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			d.warn("stored daemon entry is malformed", err)
			continue
		}
		if e.Address != "" && !platform.IsAddress(e.Address) || e.Mirror != "" && !platform.IsAddress(e.Mirror) {
			d.warn("stored daemon entry is malformed", fmt.Errorf("%s: address %.64q or %.64q cannot be used", o.Key, e.Address, e.Mirror))
			continue
		}
		if !e.Leaving && e.Address != "" {
			list = append(list, placement.Peer{ID: group.DaemonID(o.Key[len(peerPrefix):]), DataCentre: e.DataCentre, Address: e.Address, MirrorAddress: e.Mirror})
		}
	}
	slices.SortFunc(list, func(a, b placement.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// register writes the daemon's own entry when the list lacks it or holds a different one. A restart that changes nothing writes nothing, and a lost entry is restored.
func (d *Daemon) register(ctx context.Context, objects []store.Object, version store.Version) {
	key := peerPrefix + store.Key(d.id)
	var listed peerEntry
	var listedVersion store.Version
	if i := slices.IndexFunc(objects, func(o store.Object) bool { return o.Key == key }); i >= 0 {
		if err := json.Unmarshal(objects[i].Value, &listed); err != nil {
			d.warn("own stored entry is malformed", err)
		}
		listedVersion = objects[i].Version
	}
	if listed == d.ownEntry() || !d.recordOwnVersion(listedVersion, version) {
		return
	}
	if err := d.writeOwnEntry(ctx, d.ownEntry()); err != nil {
		d.warn("writing own entry failed", err) // the next list shows whether the entry was written
	}
}

// recordOwnVersion records the version at which the daemon's own entry is listed, and reports whether the list includes its last write.
func (d *Daemon) recordOwnVersion(listedVersion, version store.Version) bool {
	d.ownMu.Lock()
	defer d.ownMu.Unlock()
	d.ownVersion = max(d.ownVersion, listedVersion)
	return version >= d.ownVersion
}

// registerLeaving marks the daemon's entry as leaving, so that it gets no further sessions from others.
func (d *Daemon) registerLeaving(ctx context.Context) {
	for range leaveAttempts {
		err := d.writeOwnEntry(ctx, d.ownEntry())
		if err == nil || ctx.Err() != nil {
			return
		}
		d.warn("writing own entry failed", err)
		if d.clk.Sleep(ctx, registerRetryPause+clock.Millis(rand.Int64N(int64(registerRetryPause)))) != nil {
			return
		}
	}
}

// writeOwnEntry writes the daemon's own entry over any stored version.
func (d *Daemon) writeOwnEntry(ctx context.Context, e peerEntry) error {
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	d.ownMu.Lock()
	defer d.ownMu.Unlock()
	key := peerPrefix + store.Key(d.id)
	v, err := d.store.Put(ctx, key, value, d.ownVersion)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		var o store.Object
		o, err = d.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		v, err = d.store.Put(ctx, key, value, o.Version)
	}
	if err != nil {
		return err
	}
	d.ownVersion = v
	d.log.Info("own entry written", zap.Stringer("version", v), zap.Bool("leaving", e.Leaving))
	return nil
}

// startsWithFleet reports whether this daemon starts together with many others, of which a few read the store for all. It waits for the first list of daemons.
func (d *Daemon) startsWithFleet(ctx context.Context) bool {
	if d.set.Daemon.MirrorAddress == "" || d.set.Daemon.PeerAddress == "" || d.clk.Now() >= d.startedAt+peersTimeout {
		return false
	}
	if d.awaitPeers(ctx) != nil {
		return false
	}
	_, role := d.mirrorRole()
	return role != placement.Standalone || d.isFirstFleetStart()
}

// isFirstFleetStart reports whether the whole fleet starts for the first time, so that its entries may be missing yet.
func (d *Daemon) isFirstFleetStart() bool {
	return d.set.Daemon.FirstStart && d.peers.reads.Load() < 2 && d.clk.Now() < d.startedAt+roleSettleTime
}
