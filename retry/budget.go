// Package retry decides whether and when a request may be retried.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultMaxTokens is how many retries may be saved up.
	defaultMaxTokens = 10.0
	// baseDelay bounds the first delay of the exponential backoff, maxDelay bounds every
	// delay.
	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Budget limits retries to a share of first attempts, so that retries cannot amplify an
// overload. It is a token bucket: a first attempt adds share tokens, a retry takes one
// token. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	share     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a budget of percent retries per hundred first attempts. It starts with
// ten retries, the most that can be saved up.
func NewBudget(percent int64) *Budget {
	return newBudget(float64(percent)/100, defaultMaxTokens)
}

func newBudget(share, maxTokens float64) *Budget {
	return &Budget{share: share, maxTokens: maxTokens, tokens: maxTokens}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.share)
}

// Withdraw takes one retry from the budget, or returns false when none is left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many retries are left.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// setMaxTokens sets how many retries may be saved up.
func (b *Budget) setMaxTokens(maxTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxTokens = maxTokens
	b.tokens = min(b.tokens, maxTokens)
}

// Delay returns how long to wait after the given attempt, counted from 1, before the next
// one: an exponential backoff with full jitter.
func Delay(attempt int, random *rand.Rand) time.Duration {
	ceiling := baseDelay << min(attempt-1, 10)
	ceiling = min(ceiling, maxDelay)
	return time.Duration(random.Int64N(int64(ceiling)) + 1)
}
