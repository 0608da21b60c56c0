package control

import (
	"testing"
	"time"
)

// Gateways join one by one, all restart together, some leave for good, and finally
// none is listed.
func TestRecordedCountOfGateways(t *testing.T) {
	start := time.Unix(100, 0)
	steps := []struct {
		at               time.Duration
		listed, recorded int64
		want             int64
		wantRecord       bool
	}{
		{at: 0, listed: 0, recorded: 0},
		{at: time.Second, listed: 9, recorded: 0, want: 9, wantRecord: true},
		{at: 2 * time.Second, listed: 44, recorded: 9, want: 44, wantRecord: true},
		{at: 3 * time.Second, listed: 44, recorded: 44, want: 44},
		{at: 50 * time.Second, listed: 3, recorded: 44, want: 3},
		{at: 52 * time.Second, listed: 44, recorded: 44, want: 44},
		{at: 60 * time.Second, listed: 33, recorded: 44, want: 33},
		{at: 89 * time.Second, listed: 33, recorded: 44, want: 33},
		{at: 91 * time.Second, listed: 33, recorded: 44, want: 33, wantRecord: true},
		{at: 92 * time.Second, listed: 0, recorded: 33},
	}
	counter := gatewayCounter{}
	for _, s := range steps {
		got, shouldRecord := counter.observe(start.Add(s.at), s.listed, s.recorded)
		if got != s.want || shouldRecord != s.wantRecord {
			t.Errorf("after %v, %d listed and %d recorded: %d, %t, want %d, %t", s.at, s.listed, s.recorded, got, shouldRecord, s.want, s.wantRecord)
		}
	}
}
