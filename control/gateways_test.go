package control

import (
	"testing"
	"time"
)

// Gateways join one by one, all restart together, and some leave for good.
func TestRecordedCountOfGateways(t *testing.T) {
	start := time.Unix(100, 0)
	steps := []struct {
		at               time.Duration
		listed, recorded int64
		want             int64
		wantDiffers      bool
	}{
		{at: 0, listed: 0, recorded: 0},
		{at: time.Second, listed: 9, recorded: 0, want: 9, wantDiffers: true},
		{at: 2 * time.Second, listed: 44, recorded: 9, want: 44, wantDiffers: true},
		{at: 3 * time.Second, listed: 44, recorded: 44, want: 44},
		{at: 50 * time.Second, listed: 3, recorded: 44, want: 3},
		{at: 52 * time.Second, listed: 44, recorded: 44, want: 44},
		{at: 60 * time.Second, listed: 33, recorded: 44, want: 33},
		{at: 89 * time.Second, listed: 33, recorded: 44, want: 33},
		{at: 91 * time.Second, listed: 33, recorded: 44, want: 33, wantDiffers: true},
		{at: 92 * time.Second, listed: 0, recorded: 33},
	}
	record := gatewayRecord{}
	for _, s := range steps {
		got, differs := record.next(start.Add(s.at), s.listed, s.recorded)
		if got != s.want || differs != s.wantDiffers {
			t.Errorf("after %v, %d listed and %d recorded: %d, %t, want %d, %t", s.at, s.listed, s.recorded, got, differs, s.want, s.wantDiffers)
		}
	}
}
