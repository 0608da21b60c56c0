package app

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// trafficInterval is between two log lines on what streams carry.
const trafficInterval = 5 * time.Second

func newPlatformPool(lifecycle fx.Lifecycle, common figbank.Common, meter *transport.Meter) *transport.Pool {
	pool := transport.NewPool(common, transport.WithMeter(meter))
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

// logTraffic says at intervals what each kind of stream has carried, so that one
// kind that grows with the deployment shows in the log of any process.
func logTraffic(lifecycle fx.Lifecycle, common figbank.Common, meter *transport.Meter) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	go func() {
		ticks, stop := common.Clock.Tick(trafficInterval)
		defer stop()
		last := map[schema.StreamKind]transport.Usage{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
			for _, usage := range meter.Usage() {
				logUsage(common.For("transport").Log, last[usage.Kind], usage)
				last[usage.Kind] = usage
			}
		}
	}()
}

func logUsage(log *zap.Logger, last, now transport.Usage) {
	if now == last {
		return
	}
	log.Info("carried", zap.Stringer("kind", now.Kind),
		zap.Int64("sentMessages", now.SentMessages-last.SentMessages), zap.Int64("sentBytes", now.SentBytes-last.SentBytes),
		zap.Int64("heardMessages", now.HeardMessages-last.HeardMessages), zap.Int64("heardBytes", now.HeardBytes-last.HeardBytes))
}
