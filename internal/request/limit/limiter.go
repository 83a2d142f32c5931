package limit

import "github.com/cactusfork/cactusfork/pkg/clock"

const (
	// ShrinkFactor is what a refusal by the target leaves of the limit.
	ShrinkFactor = 0.5
	// ShrinkPause is the time in which further refusals are held to be of the same shortage.
	ShrinkPause clock.Millis = 200
	// HoldTime is how long the limit stays after a refusal before it grows again.
	HoldTime = clock.Second
	// GrowthTime is how long the limit takes to gain a whole share.
	GrowthTime = 2 * clock.Second
	// MinGrowthPerSecond is how many slots the limit gains in a second at least, up to the share.
	MinGrowthPerSecond = 4.0
	// ProbeTime is how long one slot may be tried by a daemon that has none.
	ProbeTime = clock.Second
	// MinBackOff is the shortest pause between two tries.
	MinBackOff clock.Millis = 20
	// MaxBackOff is the longest pause between two tries.
	MaxBackOff = clock.Second
)

// Limiter says how many slots of one target this daemon uses: its share, or less after the target refused; it is not safe for concurrent use.
type Limiter struct {
	// Jitter returns a pause between half of its argument and all of it.
	Jitter func(clock.Millis) clock.Millis

	share    int
	limit    float64
	grownAt  clock.Millis
	shrunkAt clock.Millis
	backOff  clock.Millis
	probeAt  clock.Millis
}

// NewLimiter returns a limiter that starts with the whole share at now.
func NewLimiter(now clock.Millis, share int) *Limiter {
	return &Limiter{
		Jitter:   func(d clock.Millis) clock.Millis { return d },
		share:    share,
		limit:    float64(share),
		grownAt:  now,
		shrunkAt: now - ShrinkPause,
		backOff:  MinBackOff,
		probeAt:  now,
	}
}

// SetShare takes over a new share: a smaller one at once, a greater one by growing.
func (l *Limiter) SetShare(now clock.Millis, share int) {
	l.grow(now)
	l.share = max(share, 0)
	l.limit = min(l.limit, float64(l.share))
}

// Refused tells that the target refused a connection or a statement for want of room.
func (l *Limiter) Refused(now clock.Millis) {
	l.grow(now)
	if l.limit < 1 {
		l.backOff = min(2*l.backOff, MaxBackOff)
		l.probeAt = now + l.Jitter(l.backOff)
		return
	}
	if now-l.shrunkAt < ShrinkPause {
		return
	}
	l.limit *= ShrinkFactor
	l.shrunkAt = now
	l.grownAt = now + HoldTime
	l.probeAt = now + l.Jitter(l.backOff)
}

// Served tells that the target took a statement.
func (l *Limiter) Served() { l.backOff = MinBackOff }

// Slots returns how many slots may be in use at now.
func (l *Limiter) Slots(now clock.Millis) int {
	l.grow(now)
	if l.limit >= 1 {
		return int(l.limit)
	}
	return l.probe(now)
}

// probe lets a daemon without a slot try one for a while, then pause, so that every daemon with work gets on when slots are fewer than daemons.
func (l *Limiter) probe(now clock.Millis) int {
	if now >= l.probeAt+ProbeTime {
		l.probeAt = now + l.Jitter(l.backOff)
	}
	if now < l.probeAt {
		return 0
	}
	return 1
}

func (l *Limiter) grow(now clock.Millis) {
	if now <= l.grownAt {
		return
	}
	perSecond := max(MinGrowthPerSecond, float64(l.share)*float64(clock.Second)/float64(GrowthTime))
	l.limit += perSecond * float64(now-l.grownAt) / float64(clock.Second)
	l.limit = min(l.limit, float64(l.share))
	l.grownAt = now
}
