package dispatch

import "time"

const (
	// settleTime is how long a gateway that has just started leaves cold upstreams
	// alone when no count is recorded in the log: it does not know yet with how many
	// others it shares them.
	settleTime = 2 * time.Second
	// shortListHold is how long gateways that are no longer listed still count. Lists
	// are short for a moment when replicas have restarted together.
	shortListHold = 10 * time.Second
)

// gatewayCount says among how many gateways to divide what upstreams bear. It counts
// more at once and fewer only after a while, so that the sum over all gateways
// stays within bounds while their lists differ.
type gatewayCount struct {
	count   int
	firstAt time.Time
	// recorded is what the log says, 0 for nothing.
	recorded int
	// shortSince is since when fewer than count are listed, zero when they are not.
	shortSince time.Time
}

// hear takes in how many gateways are listed, and how many the log has recorded,
// and returns how many count.
func (c *gatewayCount) hear(now time.Time, listed, recorded int) int {
	c.recorded = recorded
	if c.firstAt.IsZero() {
		c.firstAt = now
	}
	switch {
	case listed >= c.count:
		c.count, c.shortSince = listed, time.Time{}
	case c.shortSince.IsZero():
		c.shortSince = now
	case now.Sub(c.shortSince) > shortListHold:
		c.count, c.shortSince = listed, time.Time{}
	}
	return max(c.count, recorded)
}

// settledAt is from when the count can be relied on.
func (c *gatewayCount) settledAt() time.Time {
	if c.recorded > 0 {
		return c.firstAt
	}
	return c.firstAt.Add(settleTime)
}
