package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/schema"
)

const (
	countInterval = time.Second
	// decreaseDelay is how long fewer gateways than recorded must be listed before the recorded
	// count is lowered. A restart of many gateways at once must not lower it, since they are listed
	// again soon.
	decreaseDelay = 30 * time.Second
)

// gatewayCounter decides when the recorded count of gateways changes.
type gatewayCounter struct {
	// fewerSince is when the listed gateways became fewer than the recorded count, or
	// zero if they are not fewer.
	fewerSince time.Time
}

// observe returns the listed count, and whether it should be recorded now. A higher
// count is recorded at once, a lower one after decreaseDelay, and a count of zero
// never.
func (g *gatewayCounter) observe(now time.Time, listed, recorded int64) (int64, bool) {
	switch {
	case listed >= recorded || listed == 0:
		g.fewerSince = time.Time{}
		return listed, listed > recorded
	case g.fewerSince.IsZero():
		g.fewerSince = now
	}
	return listed, now.Sub(g.fewerSince) >= decreaseDelay
}

// CountGateways runs until ctx ends. While isLeader reports that this process leads the log, it
// keeps the recorded count of gateways up to date. fleet returns the fleet state with that count.
func (c *Control) CountGateways(ctx context.Context, isLeader func() bool, fleet func() *schema.Fleet) {
	ticks, stop := c.common.Clock.Tick(countInterval)
	defer stop()
	counter := gatewayCounter{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if !isLeader() {
			counter = gatewayCounter{}
			continue
		}
		recorded := fleet().GetGateways()
		count, shouldRecord := counter.observe(c.common.Clock.Now(), c.listedGateways(), recorded)
		if !shouldRecord {
			continue
		}
		_, err := c.propose(ctx, &schema.Command{Action: &schema.Command_CountGateways{CountGateways: &schema.CountGateways{Gateways: count, Replaces: &recorded}}})
		if err != nil {
			c.common.Log.Warn("failed to record the gateway count", figbank.ErrorField(err))
			continue
		}
		c.common.Log.Info("gateway count recorded", zap.Int64("gateways", count))
	}
}

// listedGateways counts the gateways that subscribe to a running replica.
func (c *Control) listedGateways() int64 {
	listed := int64(0)
	for _, member := range c.view.CurrentMembers() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_GATEWAY {
			listed++
		}
	}
	return listed
}
