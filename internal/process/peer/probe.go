package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// ProbeKind states the purpose of a probe, and thereby what a missing reply means.
type ProbeKind int

// The kinds of probe.
const (
	// Neighbour probes check a member of the same data centre. A missing reply leads to a suspicion.
	Neighbour ProbeKind = iota + 1
	// Bridge probes exchange heartbeats with another data centre. A missing reply does not indicate a failure.
	Bridge
	// Retry probes try a member that is considered dead, or a seed.
	Retry
)

// Probe describes an exchange of heartbeats that is to be started.
type Probe struct {
	Kind    ProbeKind
	ID      group.DaemonID
	Address string
	// Incarnation is the incarnation of the member that a missing reply makes suspect.
	Incarnation Incarnation
}

// Chooser returns the n neighbours that self probes in this period. The neighbours are sorted by id.
type Chooser func(self group.DaemonID, neighbours []group.DaemonID, n int) []group.DaemonID

// RoundRobin returns a Chooser that iterates over the neighbours and shuffles their order before each pass.
func RoundRobin(random *rand.Rand) Chooser {
	var order []group.DaemonID
	return func(_ group.DaemonID, neighbours []group.DaemonID, n int) []group.DaemonID {
		var out []group.DaemonID
		for tries := len(order) + len(neighbours); tries > 0 && len(out) < min(n, len(neighbours)); tries-- {
			if len(order) == 0 {
				order = slices.Clone(neighbours)
				random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			}
			id := order[0]
			order = order[1:]
			if _, ok := slices.BinarySearch(neighbours, id); ok && !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
		return out
	}
}

// Ring is a Chooser that returns the n neighbours after self in the order of ids, so that the n daemons before each daemon probe it.
func Ring(self group.DaemonID, neighbours []group.DaemonID, n int) []group.DaemonID {
	at, _ := slices.BinarySearch(neighbours, self)
	var out []group.DaemonID
	for i := range min(n, len(neighbours)) {
		out = append(out, neighbours[(at+i)%len(neighbours)])
	}
	return out
}

// Tick starts a period. It ends suspicions, removes old entries and returns the probes of the period; changed reports whether the
// live members changed.
func (t *Table) Tick(now clock.Millis) (probes []Probe, changed bool) {
	t.ticks++
	changed = t.expire(now)
	if t.self.State == Left {
		return nil, changed
	}
	here := t.index().live[t.self.DataCentre]
	for _, id := range t.set.Choose(t.self.ID, here, t.set.Fanout) {
		probes = append(probes, t.probe(Neighbour, id))
	}
	if slices.Contains(t.index().bridges[t.self.DataCentre], t.self.ID) {
		t.advancePulse(now)
		probes = append(probes, t.probeBridges()...)
	}
	return append(probes, t.probeDead()...), changed
}

func (t *Table) probe(k ProbeKind, id group.DaemonID) Probe {
	e := t.entries[id]
	return Probe{Kind: k, ID: id, Address: e.Address, Incarnation: e.Incarnation}
}

// expire marks members as dead that have been suspect for SuspectFor. It removes members that have been dead, left or in a silent
// data centre for RetainFor. Only members of the same data centre become dead by a suspicion.
func (t *Table) expire(now clock.Millis) bool {
	changed := false
	for id, e := range t.entries {
		age := now - e.Since
		switch {
		case e.State == Suspect && e.DataCentre == t.self.DataCentre && age >= t.periods(t.set.SuspectFor):
			t.setState(now, e, Dead)
			changed = true
		case !e.live() && age >= t.periods(t.set.RetainFor):
			t.remove(id)
		case e.live() && t.silence(now, e.DataCentre) >= t.periods(t.set.RetainFor):
			t.remove(id)
			changed = true
		}
	}
	return changed
}

// Rendezvous returns the n ids that rank highest for key by rendezvous hashing, so that adding or removing an id changes the result
// as little as possible.
func Rendezvous(key string, ids []group.DaemonID, n int) []group.DaemonID {
	ranks := make([]rank, 0, len(ids))
	for _, id := range ids {
		ranks = append(ranks, rank{id: id, weight: xxhash.Sum64String(key + "/" + string(id))})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	var out []group.DaemonID
	for _, r := range ranks[:min(n, len(ranks))] {
		out = append(out, r.id)
	}
	return out
}

type rank struct {
	id     group.DaemonID
	weight uint64
}

// remove removes a member from the table.
func (t *Table) remove(id group.DaemonID) {
	delete(t.entries, id)
	delete(t.updates, id)
	t.resetIndex()
}

// probeBridges returns a probe of one bridge of each other data centre. The bridge rotates with the periods.
func (t *Table) probeBridges() []Probe {
	var out []Probe
	for _, dc := range t.index().centres {
		ids := t.index().bridges[dc]
		out = append(out, t.probe(Bridge, ids[t.ticks%uint64(len(ids))]))
	}
	return out
}

// probeDead returns a probe of one dead member every RetryEvery periods, since the member may only have been cut off.
func (t *Table) probeDead() []Probe {
	if t.ticks%uint64(t.set.RetryEvery) != 0 {
		return nil
	}
	var dead []group.DaemonID
	for id, e := range t.entries {
		if e.State == Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	return []Probe{t.probe(Retry, dead[t.set.Random.IntN(len(dead))])}
}

// HelpersFor returns the members that are to probe a neighbour that did not reply.
func (t *Table) HelpersFor(id group.DaemonID) []Member {
	e, ok := t.entries[id]
	if !ok || !e.live() {
		return nil
	}
	here := slices.Clone(t.index().live[t.self.DataCentre])
	here = slices.DeleteFunc(here, func(h group.DaemonID) bool { return h == id || t.entries[h].State != Alive })
	t.set.Random.Shuffle(len(here), func(i, j int) { here[i], here[j] = here[j], here[i] })
	var out []Member
	for _, h := range here[:min(len(here), t.set.Helpers)] {
		out = append(out, t.entries[h].Member)
	}
	return out
}

// MarkSuspect marks a neighbour as suspect that neither this daemon nor a helper has reached.
func (t *Table) MarkSuspect(now clock.Millis, id group.DaemonID, incarnation Incarnation) {
	e, ok := t.entries[id]
	if ok && e.State == Alive && e.Incarnation == incarnation {
		t.setState(now, e, Suspect)
	}
}
