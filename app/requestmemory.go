package app

import (
	"context"
	"runtime/debug"

	"figbank"
	"figbank/memory"
	"figbank/schema"
	"figbank/settings"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// newRequestMemory returns the budget of what all requests of this gateway hold together. It also
// limits the heap.
func newRequestMemory(s *schema.PlatformSettings) *memory.Budget {
	if limit := settings.HeapLimit(s.GetNode()); limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	return memory.NewBudget(settings.RequestMemory(s.GetNode()))
}

// reportRequestMemory keeps a gauge of what all requests hold together, and logs that the budget was
// spent, at most once per metricsInterval.
func reportRequestMemory(lifecycle fx.Lifecycle, common figbank.Common, budget *memory.Budget) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	common = common.Named("requests")
	held := common.Scope.Gauge("held_bytes")
	go func() {
		ticks, stop := common.Clock.Tick(metricsInterval)
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
			held.Update(float64(budget.Used()))
			logMemorySpent(common, budget)
		}
	}()
}

// logMemorySpent logs and counts, for each use, how many times the budget had no room since the last
// call.
func logMemorySpent(common figbank.Common, budget *memory.Budget) {
	for use, count := range budget.TakeRefused() {
		common.Log.Warn("memory for requests is spent", zap.Stringer("use", use), zap.Int64("times", count), zap.Int64("heldBytes", int64(budget.Used())))
		common.Scope.Tagged(map[string]string{"use": use.String()}).Counter("memory_spent").Inc(count)
	}
}
