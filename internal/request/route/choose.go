package route

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// class ranks the targets that may serve a read.
type class int

const (
	unfit class = iota
	near
	far
	// busyPrimary comes last, so that reads leave it to its writes.
	busyPrimary
	classes
)

// Choose says where n goes by the view v at now; pick returns a random number in [0, its argument).
func Choose(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
	if n.Deadline != 0 && now >= n.Deadline {
		return Choice{Kind: Refuse, Reason: ReasonDeadline}
	}
	if len(v.Targets) == 0 {
		return Choice{Kind: Refuse, Reason: ReasonNoTargets}
	}
	if n.Request.Kind == service.Read {
		return chooseRead(v, now, n, pick)
	}
	return chooseWrite(v)
}

// Fits reports whether the target named id may serve n at now, for a request that waited since it was chosen.
func Fits(v *View, now clock.Millis, n Need, id group.TargetID) bool {
	if n.Request.Kind != service.Read {
		c := chooseWrite(v)
		return c.Kind == Primary && c.Target == id
	}
	proof, ok := proofOf(v, now, n)
	if !ok {
		return false
	}
	r := newReader(v, n.DataCentre, position.Max(n.Floor, proof))
	for i := range v.Targets {
		if v.Targets[i].ID == id {
			return r.class(i) != unfit
		}
	}
	return false
}

func chooseWrite(v *View) Choice {
	if v.Changing {
		return Choice{Kind: Wait, Reason: ReasonChanging}
	}
	l, why := findLeader(v)
	if l.index < 0 {
		return Choice{Kind: Wait, Reason: why}
	}
	return Choice{Target: v.Targets[l.index].ID, Kind: Primary, Reason: ReasonWrite}
}

func chooseRead(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
	proof, ok := proofOf(v, now, n)
	if !ok {
		return Choice{Kind: Wait, Reason: ReasonNeedsSample}
	}
	r := newReader(v, n.DataCentre, position.Max(n.Floor, proof))
	r.replicas = n.ReplicaOnly
	i, c := r.choose(pick)
	if c == unfit {
		return Choice{Kind: Wait, Reason: ReasonLagging}
	}
	return r.choice(i, c)
}

// proofOf returns the lowest point that proves a target fresh enough for the read.
func proofOf(v *View, now clock.Millis, n Need) (position.Point, bool) {
	since := n.Arrived
	if n.Request.MaxAge > 0 {
		since = now - n.Request.MaxAge
	}
	best, ok := n.Fresh.Point, n.Fresh.AskedAt != 0 && n.Fresh.AskedAt >= since
	for i := len(v.Samples) - 1; i >= 0; i-- {
		s := v.Samples[i]
		if s.AskedAt < since {
			break
		}
		if !ok || s.Point.Before(best) {
			best, ok = s.Point, true
		}
	}
	return best, ok
}

// reader sorts the targets of a view for one read.
type reader struct {
	v       *View
	centre  group.DataCentre
	floor   position.Point
	leader  leader
	promise position.Term
	// replicas leaves the primary out.
	replicas bool
}

func newReader(v *View, centre group.DataCentre, floor position.Point) reader {
	r := reader{v: v, centre: centre, floor: floor, promise: highestPromise(v)}
	r.leader, _ = findLeader(v)
	return r
}

func (r *reader) choice(i int, c class) Choice {
	out := Choice{Target: r.v.Targets[i].ID, Kind: Replica, Reason: ReasonFresh}
	if i == r.leader.index {
		out.Kind = Primary
	}
	if c == busyPrimary {
		out.Reason = ReasonNoReplica
	}
	return out
}

// choose takes the first class with a free slot, or else the first class.
func (r *reader) choose(pick func(int) int) (int, class) {
	first, firstClass := -1, unfit
	for c := near; c < classes; c++ {
		i := r.chooseIn(c, pick)
		if i < 0 {
			continue
		}
		if t := &r.v.Targets[i]; t.Busy < t.Slots {
			return i, c
		}
		if first < 0 {
			first, firstClass = i, c
		}
	}
	return first, firstClass
}

// chooseIn returns the less loaded of two random targets of class c, or -1.
func (r *reader) chooseIn(c class, pick func(int) int) int {
	n := 0
	for i := range r.v.Targets {
		if r.class(i) == c {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	if n == 1 {
		return r.nth(c, 0)
	}
	a := pick(n)
	b := (a + 1 + pick(n-1)) % n
	return r.lighter(r.nth(c, a), r.nth(c, b))
}

func (r *reader) nth(c class, n int) int {
	for i := range r.v.Targets {
		if r.class(i) != c {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// lighter compares Busy by Slots without dividing, since a target may have no slots.
func (r *reader) lighter(a, b int) int {
	s, t := &r.v.Targets[a], &r.v.Targets[b]
	if t.Busy*max(s.Slots, 1) < s.Busy*max(t.Slots, 1) {
		return b
	}
	return a
}

func (r *reader) class(i int) class {
	t := &r.v.Targets[i]
	if t.Down || t.Leaving || t.AskedAt == 0 {
		return unfit
	}
	if i == r.leader.index {
		return r.primaryClass(t)
	}
	if !r.current(t) || !t.Status.Applied.Reaches(r.floor) {
		return unfit
	}
	return r.placeClass(t)
}

// primaryClass needs no applied point: the primary of a term wrote every point of it and holds every acknowledged one of earlier terms.
func (r *reader) primaryClass(t *TargetView) class {
	if r.replicas || r.v.Changing || r.floor.Term > r.leader.term {
		return unfit
	}
	if t.Writes > 0 {
		return busyPrimary
	}
	return r.placeClass(t)
}

func (r *reader) placeClass(t *TargetView) class {
	if t.DataCentre == r.centre {
		return near
	}
	return far
}

// current reports whether a replica's log is that of the present primary, or was fenced for the next one.
func (r *reader) current(t *TargetView) bool {
	if t.Status.Primary {
		return false
	}
	if r.leader.index >= 0 {
		return t.Status.Following == r.v.Targets[r.leader.index].ID && joined(t, r.leader.term)
	}
	if t.Status.Following == "" {
		return t.Status.Promise > r.v.Record.Term && t.Status.Promise == r.promise
	}
	return t.Status.Following == r.v.Record.Primary && joined(t, r.promise)
}
