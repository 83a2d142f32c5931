package route

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// class ranks targets for a read; a lower eligible class is preferred.
type class int

const (
	// ineligible targets must not serve the read.
	ineligible class = iota
	// local targets run in the data centre of this daemon.
	local
	// remote targets run in another data centre.
	remote
	// busyPrimary is a primary with outstanding writes; it comes last to keep its capacity for them.
	busyPrimary
	classCount
)

// Choose selects a target for n from the view v at the time now; pick(k) returns a random number from 0 to k-1.
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

// CanServe reports whether the target id can still serve n at the time now, for a request that has waited since Choose selected the target.
func CanServe(v *View, now clock.Millis, n Need, id group.TargetID) bool {
	if n.Request.Kind != service.Read {
		c := chooseWrite(v)
		return c.Kind == Primary && c.Target == id
	}
	fresh, ok := freshnessPoint(v, now, n)
	if !ok {
		return false
	}
	s := newReadSelector(v, n.DataCentre, position.Max(n.Floor, fresh))
	for i := range v.Targets {
		if v.Targets[i].ID == id {
			return s.classOf(i) != ineligible
		}
	}
	return false
}

func chooseWrite(v *View) Choice {
	if v.Changing {
		return Choice{Kind: Wait, Reason: ReasonChanging}
	}
	p, reason := findPrimary(v)
	if p.index < 0 {
		return Choice{Kind: Wait, Reason: reason}
	}
	return Choice{Target: v.Targets[p.index].ID, Kind: Primary, Reason: ReasonWrite}
}

func chooseRead(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
	fresh, ok := freshnessPoint(v, now, n)
	if !ok {
		return Choice{Kind: Wait, Reason: ReasonNeedsSample}
	}
	s := newReadSelector(v, n.DataCentre, position.Max(n.Floor, fresh))
	s.replicaOnly = n.ReplicaOnly
	i, c := s.choose(pick)
	if c == ineligible {
		return Choice{Kind: Wait, Reason: ReasonLagging}
	}
	return s.choice(i, c)
}

// freshnessPoint returns the lowest point that a target must have applied to be fresh enough for the read.
// It returns false if no sample is recent enough.
func freshnessPoint(v *View, now clock.Millis, n Need) (position.Point, bool) {
	since := n.Arrived
	if n.Request.MaxAge > 0 {
		since = now - n.Request.MaxAge
	}
	lowest, ok := n.Sample.Point, n.Sample.RequestedAt != 0 && n.Sample.RequestedAt >= since
	for i := len(v.Samples) - 1; i >= 0; i-- {
		s := v.Samples[i]
		// Times are rounded down, so that a sample of the same millisecond may have been requested before.
		if s.RequestedAt <= since {
			break
		}
		if !ok || s.Point.Before(lowest) {
			lowest, ok = s.Point, true
		}
	}
	return lowest, ok
}

// readSelector classifies the targets of a view for one read and selects one of them.
type readSelector struct {
	v          *View
	dataCentre group.DataCentre
	// required is the point that a replica must have applied.
	required position.Point
	primary  currentPrimary
	// promise is the highest term that a target is known to have promised.
	promise position.Term
	// replicaOnly excludes the primary.
	replicaOnly bool
}

func newReadSelector(v *View, dataCentre group.DataCentre, required position.Point) readSelector {
	s := readSelector{v: v, dataCentre: dataCentre, required: required, promise: highestPromise(v)}
	s.primary, _ = findPrimary(v)
	return s
}

func (s *readSelector) choice(i int, c class) Choice {
	out := Choice{Target: s.v.Targets[i].ID, Kind: Replica, Reason: ReasonFresh}
	if i == s.primary.index {
		out.Kind = Primary
	}
	if c == busyPrimary {
		out.Reason = ReasonNoReplica
	}
	return out
}

// choose returns a target of the best class in which the selected target has a free slot.
// If all selected targets are full, it returns that of the best class.
func (s *readSelector) choose(pick func(int) int) (int, class) {
	first, firstClass := -1, ineligible
	for c := local; c < classCount; c++ {
		i := s.chooseFromClass(c, pick)
		if i < 0 {
			continue
		}
		if t := &s.v.Targets[i]; t.Outstanding < t.Slots {
			return i, c
		}
		if first < 0 {
			first, firstClass = i, c
		}
	}
	return first, firstClass
}

// chooseFromClass returns the less loaded of two random targets of class c, or -1 if the class is empty.
func (s *readSelector) chooseFromClass(c class, pick func(int) int) int {
	n := 0
	for i := range s.v.Targets {
		if s.classOf(i) == c {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	if n == 1 {
		return s.nthOfClass(c, 0)
	}
	a := pick(n)
	b := (a + 1 + pick(n-1)) % n
	return s.lessLoaded(s.nthOfClass(c, a), s.nthOfClass(c, b))
}

func (s *readSelector) nthOfClass(c class, n int) int {
	for i := range s.v.Targets {
		if s.classOf(i) != c {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// lessLoaded compares outstanding requests per slot by cross-multiplication, because a target may have no slots.
func (s *readSelector) lessLoaded(a, b int) int {
	t, u := &s.v.Targets[a], &s.v.Targets[b]
	if u.Outstanding*max(t.Slots, 1) < t.Outstanding*max(u.Slots, 1) {
		return b
	}
	return a
}

func (s *readSelector) classOf(i int) class {
	t := &s.v.Targets[i]
	if t.Down || t.Leaving || t.RequestedAt == 0 {
		return ineligible
	}
	if i == s.primary.index {
		return s.primaryClass(t)
	}
	if !s.hasCurrentLog(t) || !t.Status.Applied.Reaches(s.required) {
		return ineligible
	}
	return s.dataCentreClass(t)
}

// primaryClass does not compare the applied point: the primary of a term wrote every point of that term and holds every acknowledged point of earlier terms.
func (s *readSelector) primaryClass(t *TargetView) class {
	if s.replicaOnly || s.v.Changing || s.required.Term > s.primary.term {
		return ineligible
	}
	if t.Writes > 0 {
		return busyPrimary
	}
	return s.dataCentreClass(t)
}

func (s *readSelector) dataCentreClass(t *TargetView) class {
	if t.DataCentre == s.dataCentre {
		return local
	}
	return remote
}

// hasCurrentLog reports whether a replica replicates from the current primary or, while there is none, was fenced for the next one.
func (s *readSelector) hasCurrentLog(t *TargetView) bool {
	if t.Status.Primary {
		return false
	}
	if s.primary.index >= 0 {
		return t.Status.Following == s.v.Targets[s.primary.index].ID && hasJoinedTerm(t, s.primary.term)
	}
	if t.Status.Following == "" {
		return t.Status.Promise > s.v.Record.Term && t.Status.Promise == s.promise
	}
	return t.Status.Following == s.v.Record.Primary && hasJoinedTerm(t, s.promise)
}
