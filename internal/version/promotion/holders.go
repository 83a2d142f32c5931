package promotion

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Holder is one run of a target, from one of its starts on, in which it may hold commits that others lack.
// A target that starts again may have lost its log, so that it is another holder.
type Holder struct {
	ID group.TargetID `json:"id"`
	// StartedAt is when the target started, in milliseconds since the Unix epoch by its own clock; 0 if unknown.
	StartedAt int64 `json:"started-at"`
}

// Matches reports whether both are the same run of a target. An unknown start matches any.
func (h Holder) Matches(o Holder) bool {
	return h.ID == o.ID && (h.StartedAt == o.StartedAt || h.StartedAt == 0 || o.StartedAt == 0)
}

// Holding is what a target of a group showed in answer to a question that was sent after the primary had shown its position.
type Holding struct {
	Holder
	Primary bool
	// Received is the last log point that the target holds; the zero point if it did not answer.
	Received position.Point
}

// UpdateHolders returns the holders of a group: targets among which the primary and at least as many others as must receive a commit
// before it is acknowledged hold each acknowledged commit. It returns false if these are not known yet.
//
// recorded are the holders so far, nil if there is no record. present are the targets of the group, with what they hold; gone reports
// whether a holder that is not among them receives nothing any more. primary is the position that the primary showed after these had
// gone. Once enough of the present replicas hold that position, no commit depends on a target that is gone.
func UpdateHolders(recorded []Holder, present []Holding, gone func(Holder) bool, primary position.Point, synchronous int) ([]Holder, bool) {
	var holders []Holder
	upToDate := 0
	for _, p := range present {
		holders = addHolder(holders, p.Holder)
		if !p.Primary && p.Received.Reaches(primary) {
			upToDate++
		}
	}
	sufficient := upToDate >= synchronous
	if recorded == nil && !sufficient {
		return nil, false
	}
	for _, h := range recorded {
		if !sufficient || !gone(h) {
			holders = addHolder(holders, h)
		}
	}
	slices.SortFunc(holders, compareHolders)
	return holders, true
}

func addHolder(list []Holder, h Holder) []Holder {
	if slices.ContainsFunc(list, h.Matches) {
		return list
	}
	return append(list, h)
}

// HasCommitQuorum reports whether the replicas that answer are certain to include one that holds every acknowledged commit.
// synchronous is how many replicas must have received a commit before it is acknowledged. Holders that are not among the members are
// targets that cannot be asked any more; the members that are not among the holders count, too.
func HasCommitQuorum(members []Member, holders []Holder, synchronous int) bool {
	return hasQuorum(members, holders, synchronous, func(int) bool { return true })
}

// PreventsCommits reports whether no commit can be acknowledged any more that the successor, an index of members, will lack when it is
// promoted. The replicas that answer are paused. One that may resume by itself may receive commits again, which does no harm if it is the
// successor, as it then leads with what it has received.
func PreventsCommits(members []Member, holders []Holder, synchronous, successor int) bool {
	return hasQuorum(members, holders, synchronous, func(i int) bool { return i == successor || !members[i].MayResume })
}

// CanPreventCommits reports whether PreventsCommits holds for any successor, if the replicas that answer are paused.
func CanPreventCommits(members []Member, holders []Holder, synchronous int) bool {
	for i := range members {
		if members[i].replies() && PreventsCommits(members, holders, synchronous, i) {
			return true
		}
	}
	return false
}

// hasQuorum reports whether so many of the replicas answer and count that those left, with the holders that are not among the members, are
// too few to acknowledge a commit.
func hasQuorum(members []Member, holders []Holder, synchronous int, counts func(int) bool) bool {
	if synchronous == 0 {
		return true
	}
	replying, leaders := 0, 0
	all := slices.Clone(holders)
	for i := range members {
		m := &members[i]
		all = addHolder(all, m.holder())
		switch {
		case m.Leader:
			leaders++
		case m.replies() && counts(i):
			replying++
		}
	}
	if leaders == 0 && len(holders) > 0 {
		leaders = 1 // the primary is among the holders, whichever it is
	}
	return replying > len(all)-leaders-synchronous
}

// replies reports whether the member is a replica that has reported its position.
func (m *Member) replies() bool { return !m.Leader && !m.Draining && m.FailingSince == 0 }

func (m *Member) holder() Holder { return Holder{ID: m.ID, StartedAt: m.StartedAt} }

func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
}
