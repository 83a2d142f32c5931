package retry

import (
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// FreshShare is how many retries each fresh request allows.
	FreshShare = 0.1
	// FloorPerSecond is how many retries a second are allowed without fresh requests.
	FloorPerSecond = 5.0
	// BudgetSize is the greatest number of retries that may be saved up.
	BudgetSize = 100.0
	// startTokens lets a new daemon retry before it has served anything.
	startTokens = 10.0
)

// Budget bounds retries to a share of the fresh requests and a floor; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	last   clock.Millis
}

// NewBudget returns a budget that starts at now.
func NewBudget(now clock.Millis) *Budget { return &Budget{tokens: startTokens, last: now} }

// Fresh counts a request that is sent for the first time.
func (b *Budget) Fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+FreshShare, BudgetSize)
}

// Take reports whether one more retry is allowed at now, and counts it.
func (b *Budget) Take(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now > b.last {
		b.tokens = min(b.tokens+FloorPerSecond*float64(now-b.last)/float64(clock.Second), BudgetSize)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
