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
	// secondPeers is the wait before the second list of daemons, by when those that start together have written their entries, and peersEvery that between later ones.
	secondPeers = 2 * clock.Second
	peersEvery  = 4 * clock.Second
	// oldestPeers is how old the list of a mirror may be: two rounds of it, and of its own mirror.
	oldestPeers = 4 * peersEvery
	// registerPause is the wait before the store is asked again for the first list, in milliseconds.
	registerPause clock.Millis = 500
	// leavingTries is how often a daemon that leaves tries to say so.
	leavingTries = 4
)

// peerEntry is what a daemon says of itself in the store.
type peerEntry struct {
	Address string `json:"address"`
	// Mirror is where the daemon serves what it has read of the store; empty when it does not.
	Mirror     string           `json:"mirror,omitempty"`
	DataCentre group.DataCentre `json:"data-centre"`
	Leaving    bool             `json:"leaving"`
}

// own is the entry that this daemon is to have.
func (d *Daemon) own() peerEntry {
	return peerEntry{
		Address: d.set.Daemon.PeerAddress, Mirror: d.set.Daemon.MirrorAddress,
		DataCentre: group.DataCentre(d.set.Daemon.DataCentre), Leaving: d.draining.Load(),
	}
}

// followPeers reads the list of daemons again and again; one that is seconds old is good enough, as a daemon that has gone is met by its silence.
func (d *Daemon) followPeers(ctx context.Context) {
	stale := d.dialStore("daemons", 0, true)
	known, version := -1, store.Version(0)
	// The first list has those that ran before a restart of all.
	for wait := clock.Millis(0); d.clk.Sleep(ctx, wait) == nil; {
		objects, told, err := d.readPeers(ctx, stale, version)
		if err != nil {
			d.warn("list daemons", err)
			wait = peersEvery
			if d.peers.reads.Load() == 0 {
				wait = registerPause
			}
			continue
		}
		version = told
		all := d.parsePeers(objects)
		if !slices.Equal(all, *d.peers.list.Load()) {
			d.peers.list.Store(&all)
		}
		wait = peersEvery
		if d.peers.reads.Add(1) == 1 {
			wait = secondPeers
		} else {
			wait += clock.Millis(rand.Int64N(int64(registerPause)))
		}
		if len(all) != known {
			known = len(all)
			d.log.Info("daemons known", zap.Int("count", known))
		}
		d.register(ctx, objects, version)
	}
}

// readPeers returns the entries of all daemons, which were told up to from before, by a mirror where there is one, and the version up to which they are told now.
func (d *Daemon) readPeers(ctx context.Context, stale *store.Store, from store.Version) ([]store.Object, store.Version, error) {
	asked := d.clk.Now()
	a, err := d.askPeers(ctx, from)
	if err != nil {
		a.Objects, a.Version, err = stale.List(ctx, peerPrefix)
		a.Whole, a.Age = true, 0
	}
	if err != nil {
		return nil, 0, err
	}
	kept := d.copies[peerPrefix]
	kept.Take(&a, asked-a.Age)
	have, _ := kept.Read(ctx, d.clk, 0, 0)
	return have.Objects, have.Version, nil
}

var errNoMirror = errors.New("no mirror serves this daemon")

// askPeers asks a mirror for the entries that changed past from.
func (d *Daemon) askPeers(ctx context.Context, from store.Version) (mirror.Answer, error) {
	m, role := d.mirror()
	if role != placement.ByMirror {
		return mirror.Answer{}, errNoMirror
	}
	a, err := d.mirrors.Read(ctx, m.Mirror, peerPrefix, from, 0)
	if err == nil && a.Age > oldestPeers {
		err = errMirrorLate
	}
	if err != nil {
		d.log.Info("mirror does not list daemons", zap.String("mirror", string(m.ID)), zap.Int64("age-ms", int64(a.Age)), zap.Error(err))
	}
	return a, err
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
	var at store.Version
	if i := slices.IndexFunc(objects, func(o store.Object) bool { return o.Key == key }); i >= 0 {
		if err := json.Unmarshal(objects[i].Value, &listed); err != nil {
			d.warn("own entry", err)
		}
		at = objects[i].Version
	}
	if listed == d.own() || d.draining.Load() || !d.ownListed(at, version) {
		return
	}
	if err := d.writeOwn(ctx, d.own()); err != nil {
		d.warn("write own entry", err) // the next list tells whether it is there
	}
}

// ownListed notes the version at which the daemon's own entry is listed, and reports whether the list holds its last write.
func (d *Daemon) ownListed(at, version store.Version) bool {
	d.ownMu.Lock()
	defer d.ownMu.Unlock()
	d.ownVersion = max(d.ownVersion, at)
	return version >= d.ownVersion
}

// registerLeaving says that this daemon takes no more sessions.
func (d *Daemon) registerLeaving(ctx context.Context) {
	for range leavingTries {
		err := d.writeOwn(ctx, d.own())
		if err == nil || ctx.Err() != nil {
			return
		}
		d.warn("write own entry", err)
		if d.clk.Sleep(ctx, registerPause+clock.Millis(rand.Int64N(int64(registerPause)))) != nil {
			return
		}
	}
}

// writeOwn writes the daemon's own entry over what is there.
func (d *Daemon) writeOwn(ctx context.Context, e peerEntry) error {
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

// startsWithMany reports whether this daemon starts with many others, of which a few are to read the store for all; where none is known yet it waits for their entries.
func (d *Daemon) startsWithMany(ctx context.Context) bool {
	if d.set.Daemon.MirrorAddress == "" || d.set.Daemon.PeerAddress == "" || d.clk.Now() >= d.startedAt+peersWait {
		return false
	}
	if d.awaitPeers(ctx) != nil {
		return false
	}
	_, role := d.mirror()
	return role != placement.Alone || d.fleetStarts()
}

// fleetStarts reports whether this is the first start of the whole fleet, whose entries are not there yet.
func (d *Daemon) fleetStarts() bool {
	return d.set.Daemon.FirstStart && d.peers.reads.Load() < 2 && d.clk.Now() < d.startedAt+settleTime
}
