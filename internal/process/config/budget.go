package config

import (
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// ErrBudget is returned for a call to the platform that was not made because the budget was exhausted.
var ErrBudget = errors.New("no budget left for calls to the platform")

// budget limits the rate of calls to the platform by a token bucket.
type budget struct {
	clk     *clock.Clock
	bucket  *rate.Limiter
	calls   atomic.Uint64
	refused atomic.Uint64
}

func newBudget(clk *clock.Clock, perSecond float64, burst int) *budget {
	return &budget{clk: clk, bucket: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// takeToken takes one token and counts a call, or counts a refusal and returns ErrBudget.
func (b *budget) takeToken() error {
	// The limiter only compares times, so the origin is arbitrary, as it is for the clock.
	now := time.Unix(0, 0).Add(b.clk.Now().Duration())
	if !b.bucket.AllowN(now, 1) {
		b.refused.Add(1)
		return ErrBudget
	}
	b.calls.Add(1)
	return nil
}
