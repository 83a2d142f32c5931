package promotion

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// MaxCommandDelay is how long after it was sent a target may still carry out a command that it did not answer. Targets carry out such
// commands up to 12 s late; the rest covers the time from the record of a command to its sending.
const MaxCommandDelay = 13 * clock.Second

// Resumption is a resume command that a target did not answer and may still carry out, which ends any pause of that target.
type Resumption struct {
	Holder
	// Order is the number of the order to that target, which no other one has.
	Order uint64 `json:"order"`
	// Left is for how much longer it may be carried out, in milliseconds since the record was written.
	Left clock.Millis `json:"left-ms"`
}

// Resumptions are the resume commands of a group that may still be carried out. The zero value holds none.
type Resumptions struct {
	list []pendingResumption
}

type pendingResumption struct {
	holder Holder
	order  uint64
	// until is the time from which on it is not carried out any more.
	until clock.Millis
}

// Read returns the resumptions of a record that was read at now. Those that r has are known for longer, and so end earlier. Times out of
// range count as the longest possible.
func (r Resumptions) Read(record []Resumption, now clock.Millis) Resumptions {
	var read Resumptions
	for _, p := range record {
		left := p.Left
		if left < 0 || left > MaxCommandDelay {
			left = MaxCommandDelay
		}
		until := now + left
		for _, known := range r.list {
			if known.holder == p.Holder && known.order == p.Order {
				until = min(until, known.until)
			}
		}
		read.list = append(read.list, pendingResumption{holder: p.Holder, order: p.Order, until: until})
	}
	return read
}

// Add records an order of the number that is sent to a target at now at the latest.
func (r *Resumptions) Add(h Holder, order uint64, now clock.Millis) {
	r.list = append(slices.Clone(r.list), pendingResumption{holder: h, order: order, until: now + MaxCommandDelay})
}

// Remove removes an order that cannot be carried out later, as the target has answered it or it was not sent.
func (r *Resumptions) Remove(h Holder, order uint64) {
	r.list = slices.DeleteFunc(slices.Clone(r.list), func(p pendingResumption) bool { return p.holder == h && p.order == order })
}

// Pending reports whether a target may still carry out a resume command after now.
func (r *Resumptions) Pending(h Holder, now clock.Millis) bool {
	return slices.ContainsFunc(r.list, func(p pendingResumption) bool { return now < p.until && p.holder.Matches(h) })
}

// End returns the time from which on none is carried out any more; 0 if there is none.
func (r *Resumptions) End() clock.Millis {
	end := clock.Millis(0)
	for _, p := range r.list {
		end = max(end, p.until)
	}
	return end
}

// Record returns what is to be stored at now: for each target the order that may be carried out last.
func (r *Resumptions) Record(now clock.Millis) []Resumption {
	var record []Resumption
	for _, p := range r.list {
		x := Resumption{Holder: p.holder, Order: p.order, Left: p.until - now}
		i := slices.IndexFunc(record, func(o Resumption) bool { return o.Holder == p.holder })
		switch {
		case x.Left <= 0:
		case i < 0:
			record = append(record, x)
		case record[i].Left < x.Left:
			record[i] = x
		}
	}
	return record
}
