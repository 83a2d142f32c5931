package retry

import (
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// MinPause is the pause before the first retry.
	MinPause clock.Millis = 10
	// MaxPause is the longest pause before a retry.
	MaxPause = clock.Second
)

// BackOff doubles the pause with each try and draws it from the upper half.
type BackOff struct {
	// Random returns a number in [0, its argument).
	Random func(n int64) int64
}

// NewBackOff returns a back-off with the standard library's random source.
func NewBackOff() BackOff { return BackOff{Random: rand.Int64N} }

// Pause returns how long to wait after tries tries, of which there was at least one.
func (b BackOff) Pause(tries int) clock.Millis {
	pause := MinPause
	for n := 1; n < tries && pause < MaxPause; n++ {
		pause *= 2
	}
	pause = min(pause, MaxPause)
	return pause/2 + clock.Millis(b.Random(int64(pause/2)+1))
}
