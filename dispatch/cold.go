package dispatch

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// coldLimit bounds the requests that this gateway sends a cold upstream. It is
// safe for concurrent use.
type coldLimit struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

// open tells whether one more request is within perSecond.
func (c *coldLimit) open(now time.Time, perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at(perSecond).TokensAt(now) >= 1
}

// take counts one request.
func (c *coldLimit) take(now time.Time, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at(perSecond).AllowN(now, 1)
}

func (c *coldLimit) at(perSecond float64) *rate.Limiter {
	if c.limiter == nil || c.limiter.Limit() != rate.Limit(perSecond) {
		c.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
	}
	return c.limiter
}
