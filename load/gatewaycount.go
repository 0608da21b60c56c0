package load

import "time"

const (
	// settleTime is how long after its start a gateway sends nothing to cold upstreams,
	// since it does not know yet how many others share them. It applies only when the log
	// records no number of gateways.
	settleTime = 2 * time.Second
	// decreaseDelay is how long gateways that are no longer listed are still counted.
	// Lists are short for a moment when replicas have restarted together.
	decreaseDelay = 10 * time.Second
)

// GatewayCount tracks by how many gateways the limits of upstreams must be divided. The
// number rises at once and falls only after decreaseDelay, so that the gateways together
// stay within the limits while their lists differ.
type GatewayCount struct {
	// count is the number of listed gateways. A lower number takes effect only after
	// decreaseDelay.
	count int
	// firstUpdateAt is the time of the first update.
	firstUpdateAt time.Time
	// recorded is the number of gateways that the log records, 0 for none.
	recorded int
	// fewerSince is when the list of gateways became shorter than count. It is zero while the
	// list is not shorter.
	fewerSince time.Time
}

// Update stores how many gateways are listed and how many the log records. It returns the
// number by which the limits must be divided.
func (c *GatewayCount) Update(now time.Time, listed, recorded int) int {
	c.recorded = recorded
	if c.firstUpdateAt.IsZero() {
		c.firstUpdateAt = now
	}
	switch {
	case listed >= c.count:
		c.count, c.fewerSince = listed, time.Time{}
	case c.fewerSince.IsZero():
		c.fewerSince = now
	case now.Sub(c.fewerSince) > decreaseDelay:
		c.count, c.fewerSince = listed, time.Time{}
	}
	return max(c.count, recorded)
}

// SettledAt returns the time from which the count is reliable.
func (c *GatewayCount) SettledAt() time.Time {
	if c.recorded > 0 {
		return c.firstUpdateAt
	}
	return c.firstUpdateAt.Add(settleTime)
}
