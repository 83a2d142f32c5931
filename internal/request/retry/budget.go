package retry

import (
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// TokensPerRequest is the number of retries that each first try adds to the budget.
	TokensPerRequest = 0.1
	// TokensPerSecond is the number of retries added per second, even without requests.
	TokensPerSecond = 5.0
	// MaxTokens is the maximum number of retries that the budget accumulates.
	MaxTokens = 100.0
	// initialTokens allows retries before a new daemon has served any request.
	initialTokens = 10.0
)

// Budget is a token bucket that bounds the retries to a share of the first tries plus a constant rate. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill clock.Millis
}

// NewBudget returns a budget that refills from now on.
func NewBudget(now clock.Millis) *Budget { return &Budget{tokens: initialTokens, lastRefill: now} }

// RecordRequest records the first try of a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+TokensPerRequest, MaxTokens)
}

// Take reports whether another retry is allowed at now, and if so deducts it.
func (b *Budget) Take(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now > b.lastRefill {
		b.tokens = min(b.tokens+TokensPerSecond*float64(now-b.lastRefill)/float64(clock.Second), MaxTokens)
		b.lastRefill = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
