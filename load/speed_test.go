package load

import (
	"math"
	"testing"
	"time"
)

// A host is slow for 0.6 s, or for long. What is known of it follows within a moment, and is forgotten soon after.
func TestSpeedFollowsTheHost(t *testing.T) {
	const interval = 100 * time.Millisecond
	scenarios := []struct {
		name      string
		slowFor   time.Duration
		after     time.Duration
		low, high float64
	}{
		{name: "as usual", after: 0, low: 1, high: 1},
		{name: "just slow", slowFor: interval, low: 2.4, high: 2.5},
		{name: "slow, a reporting interval ago", slowFor: 600 * time.Millisecond, after: 100 * time.Millisecond, low: 1.7, high: 2.2},
		{name: "slow, as long ago as it usually lasts", slowFor: 600 * time.Millisecond, after: 600 * time.Millisecond, low: 1, high: 1.1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var speed Speed
			at := now
			for slow := time.Duration(0); slow < s.slowFor; slow += interval {
				at = at.Add(interval)
				speed.Record(at, 2.5, true)
			}
			if got := speed.Slowdown(at.Add(s.after)); got < s.low || got > s.high {
				t.Errorf("Slowdown() = %.2f, want %.2f to %.2f", got, s.low, s.high)
			}
		})
	}
}

func TestSpeedIgnoresWhatIsOldOrNone(t *testing.T) {
	var speed Speed
	speed.Record(now, 2, true)
	for _, figure := range []float64{0, -1, math.NaN()} {
		speed.Record(now.Add(time.Second), figure, true)
	}
	speed.Record(now.Add(-time.Second), 1, false)
	if got := speed.Slowdown(now); got != 2 {
		t.Errorf("Slowdown() = %.2f, want 2", got)
	}
	if slowdown, age, found := speed.TakeNews(now.Add(time.Second)); !found || slowdown != 2 || age != time.Second {
		t.Errorf("TakeNews() = %v, %v, %v, want 2 of a second ago", slowdown, age, found)
	}
	if _, _, found := speed.TakeNews(now); found {
		t.Error("TakeNews() returns the same figure twice")
	}
	speed.Record(now.Add(time.Second), 3, false)
	if _, _, found := speed.TakeNews(now); found {
		t.Error("TakeNews() returns what another gateway has told")
	}
	speed.Record(now.Add(2*time.Second), 1e9, true)
	if got := speed.Slowdown(now.Add(2 * time.Second)); got != maxSlowdown {
		t.Errorf("Slowdown() = %v, want at most %v", got, maxSlowdown)
	}
}
