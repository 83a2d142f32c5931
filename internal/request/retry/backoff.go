package retry

import (
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// MinDelay is the delay before the first retry, in milliseconds.
	MinDelay clock.Millis = 10
	// MaxDelay is the maximum delay before a retry.
	MaxDelay = clock.Second
)

// Backoff computes exponential delays with jitter: the delay doubles with each try, and a random value in its upper half is used.
type Backoff struct {
	// Random returns a random number in [0, n).
	Random func(n int64) int64
}

// NewBackoff returns an exponential backoff that uses the random source of the standard library.
func NewBackoff() Backoff { return Backoff{Random: rand.Int64N} }

// Delay returns the delay before the next try, in milliseconds; tries counts the tries so far and is at least 1.
func (b Backoff) Delay(tries int) clock.Millis {
	delay := MinDelay
	for n := 1; n < tries && delay < MaxDelay; n++ {
		delay *= 2
	}
	delay = min(delay, MaxDelay)
	return delay/2 + clock.Millis(b.Random(int64(delay/2)+1))
}
