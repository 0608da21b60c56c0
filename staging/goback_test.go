package staging

import (
	"context"
	"testing"

	"figbank/schema"

	"pgregory.net/rapid"
)

// The engine has loaded pieces that were wrong. Then a report has a lower number of orders than before,
// or none of its numbers. It must not make callers be sent to what is loaded.
func TestReportThatGoesBackDoesNotServeWrongWeights(t *testing.T) {
	const born = 5
	loaded := &schema.LoadedWeights{Model: testModel, Version: 2, Layers: 1}
	scenarios := []struct {
		name   string
		report Report
		want   bool
	}{
		{name: "the same", report: Report{Loaded: loaded, Orders: 4, BornUnixMilli: born}, want: true},
		{name: "the number before the order", report: Report{Loaded: loaded, Orders: 3, BornUnixMilli: born}, want: true},
		{name: "no orders", report: Report{Loaded: loaded, BornUnixMilli: born}, want: true},
		{name: "no birth", report: Report{Loaded: loaded, Orders: 4}, want: true},
		{name: "no number at all", report: Report{Loaded: loaded}, want: true},
		{name: "a later birth", report: Report{Loaded: &schema.LoadedWeights{}, BornUnixMilli: born + 1}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			stager, _ := newTestStager(rapid.TB(t), t.TempDir())
			stager.load = &orderedLoad{version: 2, bornUnixMilli: born, orders: 3}
			// The staged pieces are those of version 1.
			stager.settleLoad(context.Background(), Report{Loaded: loaded, Orders: 4, BornUnixMilli: born})
			stager.settleLoad(context.Background(), s.report)
			if got := stager.load.withheld(s.report); got != s.want {
				t.Errorf("withheld = %t, want %t", got, s.want)
			}
		})
	}
}
