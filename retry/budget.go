// Package retry decides whether and when a request may be retried.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultMaxTokens is how many retries may be saved up, defaultPerSecond how many are added in
	// each second besides those that first attempts add.
	defaultMaxTokens = 10.0
	defaultPerSecond = 1.0
	// baseDelay bounds the first delay of the exponential backoff, maxDelay bounds every
	// delay.
	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Budget limits retries to a share of first attempts, so that retries cannot amplify an
// overload. It is a token bucket: a first attempt adds share tokens, time adds perSecond, a retry
// takes one token. It begins empty, since a process that starts again must not renew what it has
// spent before. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	share     float64
	perSecond float64
	maxTokens float64
	tokens    float64
	// earnsFrom is the time from which perSecond is added, at the time up to which it has been.
	earnsFrom, at time.Time
	// draw returns a random number from 0 to 1.
	draw func() float64
}

// NewBudget returns a budget of percent retries per hundred first attempts, and one retry in each
// second. It begins empty at the given time.
func NewBudget(percent int64, now time.Time) *Budget {
	return &Budget{share: float64(percent) / 100, perSecond: defaultPerSecond, maxTokens: defaultMaxTokens, earnsFrom: now, at: now, draw: rand.Float64}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.maxTokens, b.tokens+b.share)
}

// Withdraw takes one retry from the budget, or returns false when none is left. Where less than one
// can be saved up, since many gateways share the retries, it takes what there is, and grants a
// retry with that probability. So the gateways together use what they have together.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.maxTokens < 1 {
		granted := b.draw() < b.tokens
		b.tokens = 0
		return granted
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many retries are left.
func (b *Budget) Tokens(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

// setRates sets how many retries may be saved up, and how many each second adds from earnsFrom on.
func (b *Budget) setRates(now time.Time, maxTokens, perSecond float64, earnsFrom time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.maxTokens, b.perSecond, b.earnsFrom = maxTokens, perSecond, earnsFrom
	b.tokens = min(b.tokens, maxTokens)
}

// refill adds what the time since the last call has earned. The caller holds mu.
func (b *Budget) refill(now time.Time) {
	if b.earnsFrom.After(b.at) {
		b.at = b.earnsFrom
	}
	passed := max(0, now.Sub(b.at))
	b.tokens = min(b.maxTokens, b.tokens+b.perSecond*passed.Seconds())
	b.at = b.at.Add(passed)
}

// Delay returns how long to wait after the given attempt, counted from 1, before the next
// one: an exponential backoff with full jitter.
func Delay(attempt int, random *rand.Rand) time.Duration {
	ceiling := baseDelay << min(attempt-1, 10)
	ceiling = min(ceiling, maxDelay)
	return time.Duration(random.Int64N(int64(ceiling)) + 1)
}
