package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// peerPrefix is where daemons say how others reach them.
	peerPrefix store.Key = "cactusfork-daemons/"
	// secondPeerListDelay is the wait before the second list of daemons, by when those that start together have written their entries, and peerListInterval that between later ones.
	secondPeerListDelay = 2 * clock.Second
	peerListInterval    = 4 * clock.Second
	// maxPeerListAge is how old the list of a mirror may be: two rounds of it, and of its own mirror.
	maxPeerListAge = 4 * peerListInterval
	// registerRetryPause is the wait before the store is asked again for the first list, in milliseconds.
	registerRetryPause clock.Millis = 500
	// leaveAttempts is how often a daemon that leaves tries to say so.
	leaveAttempts = 4
)

// peerEntry is what a daemon says of itself in the store.
type peerEntry struct {
	Address string `json:"address"`
	// Mirror is where the daemon serves what it has read of the store; empty when it does not.
	Mirror     string           `json:"mirror,omitempty"`
	DataCentre group.DataCentre `json:"data-centre"`
	Leaving    bool             `json:"leaving"`
}

// ownEntry is the entry that this daemon is to have.
func (d *Daemon) ownEntry() peerEntry {
	return peerEntry{
		Address: d.set.Daemon.PeerAddress, Mirror: d.set.Daemon.MirrorAddress,
		DataCentre: group.DataCentre(d.set.Daemon.DataCentre), Leaving: d.draining.Load(),
	}
}

// followPeers reads the list of daemons again and again; one that is seconds old is good enough, as a daemon that has gone is met by its silence.
func (d *Daemon) followPeers(ctx context.Context) {
	stale := d.dialStore("daemons", 0, true)
	count, version := -1, store.Version(0)
	// The first list has those that ran before a restart of all.
	for wait := clock.Millis(0); d.clk.Sleep(ctx, wait) == nil; {
		objects, listed, err := d.readPeers(ctx, stale, version)
		if err != nil {
			d.warn("list daemons", err)
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
			d.log.Info("daemons known", zap.Int("count", count))
		}
		d.register(ctx, objects, version)
	}
}

// readPeers returns the entries of all daemons, which were told up to from before, by a mirror where there is one, and the version up to which they are told now.
func (d *Daemon) readPeers(ctx context.Context, stale *store.Store, from store.Version) ([]store.Object, store.Version, error) {
	requestedAt := d.clk.Now()
	r, err := d.readPeersFromMirror(ctx, from)
	if err != nil {
		r.Objects, r.Version, err = stale.List(ctx, peerPrefix)
		r.Whole, r.Age = true, 0
	}
	if err != nil {
		return nil, 0, err
	}
	cache := d.caches[peerPrefix]
	cache.Take(&r, requestedAt-r.Age)
	cached, _ := cache.Read(ctx, d.clk, 0, 0)
	return cached.Objects, cached.Version, nil
}

var errNoMirror = errors.New("no mirror serves this daemon")

// readPeersFromMirror asks a mirror for the entries that changed past from.
func (d *Daemon) readPeersFromMirror(ctx context.Context, from store.Version) (mirror.Answer, error) {
	m, role := d.mirrorRole()
	if role != placement.ByMirror {
		return mirror.Answer{}, errNoMirror
	}
	r, err := d.mirrors.Read(ctx, m.Mirror, peerPrefix, from, 0)
	if err == nil && r.Age > maxPeerListAge {
		err = errMirrorStale
	}
	if err != nil {
		d.log.Info("mirror does not list daemons", zap.String("mirror", string(m.ID)), zap.Int64("age-ms", int64(r.Age)), zap.Error(err))
	}
	return r, err
}

// parsePeers returns the daemons that take sessions; an entry that cannot be read names none.
func (d *Daemon) parsePeers(objects []store.Object) []placement.Peer {
	list := make([]placement.Peer, 0, len(objects))
	for _, o := range objects {
		var e peerEntry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			d.warn("entry of a daemon", err)
			continue
		}
		if !e.Leaving && e.Address != "" {
			list = append(list, placement.Peer{ID: group.DaemonID(o.Key[len(peerPrefix):]), DataCentre: e.DataCentre, Address: e.Address, Mirror: e.Mirror})
		}
	}
	slices.SortFunc(list, func(a, b placement.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// register writes the daemon's own entry where the list tells another one or none: nothing is written behind a restart that has changed nothing, and an entry that was lost comes back.
func (d *Daemon) register(ctx context.Context, objects []store.Object, version store.Version) {
	key := peerPrefix + store.Key(d.id)
	var listed peerEntry
	var listedVersion store.Version
	if i := slices.IndexFunc(objects, func(o store.Object) bool { return o.Key == key }); i >= 0 {
		if err := json.Unmarshal(objects[i].Value, &listed); err != nil {
			d.warn("own entry", err)
		}
		listedVersion = objects[i].Version
	}
	if listed == d.ownEntry() || d.draining.Load() || !d.recordOwnVersion(listedVersion, version) {
		return
	}
	if err := d.writeOwnEntry(ctx, d.ownEntry()); err != nil {
		d.warn("write own entry", err) // the next list tells whether it is there
	}
}

// recordOwnVersion notes the version at which the daemon's own entry is listed, and reports whether the list holds its last write.
func (d *Daemon) recordOwnVersion(listedVersion, version store.Version) bool {
	d.ownMu.Lock()
	defer d.ownMu.Unlock()
	d.ownVersion = max(d.ownVersion, listedVersion)
	return version >= d.ownVersion
}

// registerLeaving says that this daemon takes no more sessions.
func (d *Daemon) registerLeaving(ctx context.Context) {
	for range leaveAttempts {
		err := d.writeOwnEntry(ctx, d.ownEntry())
		if err == nil || ctx.Err() != nil {
			return
		}
		d.warn("write own entry", err)
		if d.clk.Sleep(ctx, registerRetryPause+clock.Millis(rand.Int64N(int64(registerRetryPause)))) != nil {
			return
		}
	}
}

// writeOwnEntry writes the daemon's own entry over what is there.
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
	return nil
}

// startsWithFleet reports whether this daemon starts with many others, of which a few are to read the store for all; where none is known yet it waits for their entries.
func (d *Daemon) startsWithFleet(ctx context.Context) bool {
	if d.set.Daemon.MirrorAddress == "" || d.set.Daemon.PeerAddress == "" || d.clk.Now() >= d.startedAt+peersTimeout {
		return false
	}
	if d.awaitPeers(ctx) != nil {
		return false
	}
	_, role := d.mirrorRole()
	return role != placement.Alone || d.isFirstFleetStart()
}

// isFirstFleetStart reports whether this is the first start of the whole fleet, whose entries are not there yet.
func (d *Daemon) isFirstFleetStart() bool {
	return d.set.Daemon.FirstStart && d.peers.reads.Load() < 2 && d.clk.Now() < d.startedAt+roleSettleTime
}
