// Package retry decides whether and when a request may be tried again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burst is how many retries may be saved up.
	burst = 10.0
	// firstDelay and lastDelay bound the exponential backoff.
	firstDelay = 10 * time.Millisecond
	lastDelay  = 500 * time.Millisecond
)

// Budget allows retries as a share of first tries, so that retries cannot
// multiply an overload. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewBudget allows percent retries per hundred first tries.
func NewBudget(percent int64) *Budget {
	return &Budget{share: float64(percent) / 100, tokens: burst}
}

// Deposit counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+b.share)
}

// Withdraw takes one retry from the budget, or returns false.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay is the backoff before the retry after attempt, counted from 1: an
// exponential delay with full jitter. Unit random is in [0,1).
func Delay(attempt int, random *rand.Rand) time.Duration {
	ceiling := firstDelay << min(attempt-1, 10)
	ceiling = min(ceiling, lastDelay)
	return time.Duration(random.Int64N(int64(ceiling)) + 1)
}
