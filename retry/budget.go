// Package retry decides whether and when a request may be tried again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultSaved is how many retries may be saved up.
	defaultSaved = 10.0
	// firstDelay and lastDelay bound the exponential backoff.
	firstDelay = 10 * time.Millisecond
	lastDelay  = 500 * time.Millisecond
)

// Budget allows retries as a share of first tries, so that retries cannot
// multiply an overload. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	saved  float64
	tokens float64
}

// NewBudget allows percent retries per hundred first tries, and ten at once.
func NewBudget(percent int64) *Budget {
	return newBudget(float64(percent)/100, defaultSaved)
}

func newBudget(share, saved float64) *Budget {
	return &Budget{share: share, saved: saved, tokens: saved}
}

// Deposit counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.saved, b.tokens+b.share)
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

// setSaved bounds what may be saved up.
func (b *Budget) setSaved(saved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = saved
	b.tokens = min(b.tokens, saved)
}

// Delay is the backoff before the retry after attempt, counted from 1: an
// exponential delay with full jitter. Unit random is in [0,1).
func Delay(attempt int, random *rand.Rand) time.Duration {
	ceiling := firstDelay << min(attempt-1, 10)
	ceiling = min(ceiling, lastDelay)
	return time.Duration(random.Int64N(int64(ceiling)) + 1)
}
