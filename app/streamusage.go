package app

import (
	"context"
	"time"

	"figbank"
	"figbank/feed"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// usageInterval is how often a process logs the usage of its streams.
const usageInterval = 5 * time.Second

func newPlatformPool(lifecycle fx.Lifecycle, common figbank.Common, meter *transport.Meter) *transport.Pool {
	pool := transport.NewPool(common, transport.WithMeter(meter))
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

// logStreamUsage logs how many messages and bytes each kind of stream has carried since the last
// such log line. These lines show which kinds of traffic grow with the size of the deployment.
func logStreamUsage(lifecycle fx.Lifecycle, common figbank.Common, meter *transport.Meter) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	go func() {
		ticks, stop := common.Clock.Tick(usageInterval)
		defer stop()
		last := map[schema.StreamKind]transport.Usage{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
			for _, usage := range meter.Usage() {
				logUsage(common.Named("transport").Log, last[usage.Kind], usage)
				last[usage.Kind] = usage
			}
		}
	}()
}

// logReplicaWork logs what serving feeds has cost since the last such log line, and how late the
// replica has handled its clock and sent its messages. These lines show whether feeds leave the log
// no processor time.
func logReplicaWork(lifecycle fx.Lifecycle, common figbank.Common, view *feed.View, r logReplica) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	go func() {
		ticks, stop := common.Clock.Tick(usageInterval)
		defer stop()
		last := feed.Work{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
			now := view.Work()
			work, delays := now.Since(last), r.TakeDelays()
			last = now
			common.Named("replica").Log.Info("feed work", zap.Int64("joins", work.Joins), zap.Int64("leaves", work.Leaves),
				zap.Int64("updates", work.Built), zap.Int64("empty", work.Empty), zap.Duration("building", work.BuildTime),
				zap.Duration("latestTick", delays.Tick), zap.Duration("latestSend", delays.Send))
		}
	}()
}

// logUsage logs the difference between two readings. It logs nothing if they are equal.
func logUsage(log *zap.Logger, last, now transport.Usage) {
	if now == last {
		return
	}
	log.Info("carried", zap.Stringer("kind", now.Kind),
		zap.Int64("sentMessages", now.SentMessages-last.SentMessages), zap.Int64("sentBytes", now.SentBytes-last.SentBytes),
		zap.Int64("heardMessages", now.ReceivedMessages-last.ReceivedMessages), zap.Int64("heardBytes", now.ReceivedBytes-last.ReceivedBytes))
}
