package limit

import "github.com/cactusfork/cactusfork/pkg/clock"

const (
	// ShrinkFactor multiplies the limit after a refusal by the target.
	ShrinkFactor = 0.5
	// ShrinkInterval is the time after a reduction in which further refusals are attributed to the same shortage, in milliseconds.
	ShrinkInterval clock.Millis = 200
	// HoldTime is how long the limit stays constant after a reduction before it grows again.
	HoldTime = clock.Second
	// GrowthTime is how long the limit takes to grow by a whole share.
	GrowthTime = 2 * clock.Second
	// MinGrowthPerSecond is the minimum growth of the limit up to the share, in slots per second.
	MinGrowthPerSecond = 4.0
	// ProbeDuration is how long a daemon without a slot may try to use one.
	ProbeDuration = clock.Second
	// MinBackoff is the minimum pause between two probes, in milliseconds.
	MinBackoff clock.Millis = 20
	// MaxBackoff is the maximum pause between two probes.
	MaxBackoff = clock.Second
)

// Limiter computes how many slots of one target this daemon may use: its share, or less after the target refused work.
// It is not safe for concurrent use.
type Limiter struct {
	// Jitter returns a random duration between half of its argument and its argument.
	Jitter func(clock.Millis) clock.Millis

	share    int
	limit    float64
	grownAt  clock.Millis
	shrunkAt clock.Millis
	backoff  clock.Millis
	// probeAt is the start of the current or next probe.
	probeAt clock.Millis
}

// NewLimiter returns a limiter that grants the whole share from now on.
func NewLimiter(now clock.Millis, share int) *Limiter {
	return &Limiter{
		Jitter:   func(d clock.Millis) clock.Millis { return d },
		share:    share,
		limit:    float64(share),
		grownAt:  now,
		shrunkAt: now - ShrinkInterval,
		backoff:  MinBackoff,
		probeAt:  now,
	}
}

// SetShare changes the share. A smaller one takes effect at once, and the limit grows to a larger one.
func (l *Limiter) SetShare(now clock.Millis, share int) {
	l.grow(now)
	l.share = max(share, 0)
	l.limit = min(l.limit, float64(l.share))
}

// Refused records that the target refused a connection or a statement for lack of capacity.
func (l *Limiter) Refused(now clock.Millis) {
	l.grow(now)
	if l.limit < 1 {
		l.backoff = min(2*l.backoff, MaxBackoff)
		l.probeAt = now + l.Jitter(l.backoff)
		return
	}
	if now-l.shrunkAt < ShrinkInterval {
		return
	}
	l.limit *= ShrinkFactor
	l.shrunkAt = now
	l.grownAt = now + HoldTime
	l.probeAt = now + l.Jitter(l.backoff)
}

// Served records that the target accepted a statement.
func (l *Limiter) Served() { l.backoff = MinBackoff }

// Slots returns the number of slots that may be in use at now.
func (l *Limiter) Slots(now clock.Millis) int {
	l.grow(now)
	if l.limit >= 1 {
		return int(l.limit)
	}
	return l.probe(now)
}

// probe grants one slot for ProbeDuration to a daemon without a slot, and then pauses.
// Every daemon with work thus makes progress when there are fewer slots than daemons.
func (l *Limiter) probe(now clock.Millis) int {
	if now >= l.probeAt+ProbeDuration {
		l.probeAt = now + l.Jitter(l.backoff)
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
