package staging

import (
	"testing"

	"figbank/schema"
)

// What an engine says of its leaving is published at once and stays, also if a later report does not say it. An
// incarnation that starts afterwards is clean.
func TestLeavingEngineIsPublished(t *testing.T) {
	s, _ := newTestStager(t, t.TempDir())
	steps := []struct {
		name    string
		report  Report
		want    bool
		changed bool
	}{
		{name: "serves", report: Report{BornUnixMilli: 5}, changed: true},
		{name: "leaves", report: Report{BornUnixMilli: 5, Leaving: true}, want: true, changed: true},
		{name: "still leaves", report: Report{BornUnixMilli: 5, Leaving: true}, want: true},
		{name: "says no more of it", report: Report{BornUnixMilli: 5}, want: true},
		{name: "has restarted", report: Report{BornUnixMilli: 6}, changed: true},
	}
	for _, step := range steps {
		before := s.state.GetSequence()
		step.report.Loaded = &schema.LoadedWeights{Model: testModel, Version: 1, Layers: 1}
		s.publish(step.report, false)
		if got := s.state.GetLeaving(); got != step.want {
			t.Errorf("%s: published as leaving %v, want %v", step.name, got, step.want)
		}
		if changed := s.state.GetSequence() != before; changed != step.changed {
			t.Errorf("%s: published anew %v, want %v", step.name, changed, step.changed)
		}
	}
}
