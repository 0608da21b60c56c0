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
	// fewerHold is how long fewer gateways than recorded must be listed before the
	// record follows: many restart together, and come back.
	fewerHold = 30 * time.Second
)

// gatewayRecord decides when the recorded count of gateways changes.
type gatewayRecord struct {
	// fewerSince is since when fewer are listed than recorded, zero when they are not.
	fewerSince time.Time
}

// next returns the count to record, and whether it differs from what is.
func (g *gatewayRecord) next(now time.Time, listed, recorded int64) (int64, bool) {
	switch {
	case listed >= recorded || listed == 0:
		g.fewerSince = time.Time{}
		return listed, listed > recorded
	case g.fewerSince.IsZero():
		g.fewerSince = now
	}
	return listed, now.Sub(g.fewerSince) >= fewerHold
}

// CountGateways keeps the recorded count of gateways up to date until ctx ends,
// while leads says that this process leads the log.
func (c *Control) CountGateways(ctx context.Context, leads func() bool, fleet func() *schema.Fleet) {
	ticks, stop := c.common.Clock.Tick(countInterval)
	defer stop()
	record := gatewayRecord{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if !leads() {
			record = gatewayRecord{}
			continue
		}
		count, differs := record.next(c.common.Clock.Now(), c.listedGateways(), fleet().GetGateways())
		if !differs {
			continue
		}
		err := c.propose(ctx, &schema.Command{Action: &schema.Command_CountGateways{CountGateways: &schema.CountGateways{Gateways: count}}})
		if err != nil {
			c.common.Log.Warn("count of gateways not recorded", figbank.ErrorField(err))
			continue
		}
		c.common.Log.Info("count of gateways recorded", zap.Int64("gateways", count))
	}
}

func (c *Control) listedGateways() int64 {
	listed := int64(0)
	for _, member := range c.view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_GATEWAY {
			listed++
		}
	}
	return listed
}
