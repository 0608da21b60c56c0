package app

import (
	"context"
	"math"

	"figbank"
	"figbank/memory"

	"go.uber.org/fx"
)

// newRequestMemory returns the budget of what all requests of this gateway hold together.
func newRequestMemory() *memory.Budget {
	return memory.NewBudget(math.MaxInt64)
}

// reportRequestMemory keeps a gauge of what all requests hold together.
func reportRequestMemory(lifecycle fx.Lifecycle, common figbank.Common, budget *memory.Budget) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	held := common.Scope.SubScope("requests").Gauge("held_bytes")
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
		}
	}()
}
