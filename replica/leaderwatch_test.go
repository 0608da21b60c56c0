package replica

import (
	"testing"
	"time"
)

// A replica that knows no leader says so once elections should be over, and goes on saying so.
func TestLeaderWatch(t *testing.T) {
	start := time.Unix(100, 0)
	scenarios := []struct {
		name    string
		lostFor []time.Duration
		want    []bool
	}{
		{name: "an election is not reported", lostFor: []time.Duration{0, 500 * time.Millisecond, 999 * time.Millisecond}, want: []bool{false, false, false}},
		{name: "reported after a second, and each two seconds", lostFor: []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}, want: []bool{false, true, false, true, false}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := &leaderWatch{}
			w.observe(start.Add(-time.Second), true)
			for i, lost := range s.lostFor {
				leaderless, report := w.observe(start.Add(lost), false)
				if leaderless != lost || report != s.want[i] {
					t.Errorf("after %v: got %v, %v, want %v, %v", lost, leaderless, report, lost, s.want[i])
				}
			}
			if leaderless, _ := w.observe(start.Add(time.Minute), true); leaderless != 0 {
				t.Errorf("leaderless for %v under a leader, want 0", leaderless)
			}
		})
	}
}
