package load

import (
	"strings"
	"testing"
	"time"
)

var now = time.Unix(10_000, 0)

// An upstream that quickly answers every request with an error must not attract the
// traffic because of its speed.
func TestFailingUpstreamGetsPenalty(t *testing.T) {
	upstream := &Upstream{}
	for range 30 {
		upstream.RecordFailure(now, false)
	}
	if got := upstream.Penalty(); got < failurePenalty/2 {
		t.Errorf("Penalty() after 30 failures = %v, want at least %v", got, failurePenalty/2)
	}
	for range 60 {
		upstream.RecordSuccess(now)
	}
	if got := upstream.Penalty(); got > failurePenalty/10 {
		t.Errorf("Penalty() after 60 successes = %v, want at most %v", got, failurePenalty/10)
	}
}

func TestPauseGrowsWithBrokenConnections(t *testing.T) {
	upstream := &Upstream{}
	upstream.RecordFailure(now, true)
	if !upstream.Paused(now.Add(minPause - 1)) {
		t.Error("not paused after the first failure")
	}
	if upstream.Paused(now.Add(minPause)) {
		t.Error("paused for longer than minPause")
	}
	for range 10 {
		upstream.RecordFailure(now, true)
	}
	if upstream.Paused(now.Add(maxPause)) {
		t.Error("paused for longer than maxPause")
	}
}

func TestOutstandingUsesRecentCountsOnly(t *testing.T) {
	upstream := &Upstream{}
	upstream.Begin()
	upstream.RecordReport(now, &Report{Running: 9, Waiting: 2})
	if got := upstream.Outstanding(now); got != 11 {
		t.Errorf("Outstanding() = %d, want the 11 reported", got)
	}
	upstream.RecordPeers(now, 20)
	if got := upstream.Outstanding(now); got != 21 {
		t.Errorf("Outstanding() = %d, want 1 own request and 20 of peers", got)
	}
	if got := upstream.Outstanding(now.Add(time.Minute)); got != 1 {
		t.Errorf("Outstanding() a minute later = %d, want 1 own request", got)
	}
}

func TestAgeIsThatOfTheNewestCount(t *testing.T) {
	upstream := &Upstream{}
	if got := upstream.Age(now); got != 0 {
		t.Errorf("Age() before any count = %v, want 0", got)
	}
	upstream.RecordReport(now.Add(-time.Second), &Report{Running: 1})
	upstream.RecordPeers(now.Add(-100*time.Millisecond), 2)
	if got := upstream.Age(now); got != 100*time.Millisecond {
		t.Errorf("Age() = %v, want 100ms", got)
	}
}

func TestPauseAfterGarbage(t *testing.T) {
	const garbage, broken, sound = 'g', 'b', 's'
	scenarios := []struct {
		name, outcomes string
		want           time.Duration
	}{
		{name: "once", outcomes: "g"},
		{name: "twice in a row", outcomes: "gg", want: minPause},
		{name: "three times in a row", outcomes: "ggg", want: 2 * minPause},
		{name: "again after a sound answer", outcomes: "ggsg"},
		{name: "always", outcomes: strings.Repeat("g", 40), want: maxPause},
		{name: "a broken answer", outcomes: "b", want: minPause},
		{name: "a broken answer after garbage", outcomes: "gb", want: 2 * minPause},
		{name: "garbage after a broken answer", outcomes: "bg", want: minPause},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var upstream Upstream
			now := time.Unix(100, 0)
			for _, outcome := range s.outcomes {
				now = now.Add(time.Minute)
				switch outcome {
				case garbage:
					upstream.RecordGarbage(now)
				case broken:
					upstream.RecordFailure(now, true)
				case sound:
					upstream.RecordSuccess(now)
				}
			}
			got := max(0, time.Unix(0, upstream.pausedUntil.Load()).Sub(now))
			if got != s.want || upstream.Penalty() == 0 {
				t.Errorf("pause = %v, penalty = %v, want %v and some", got, upstream.Penalty(), s.want)
			}
		})
	}
}

// An upstream cannot take itself out for ever by a slip.
func TestRefusalIsBounded(t *testing.T) {
	s := Standing{}
	now := time.Unix(100, 0)
	s.Record(now, Notice{RefusedFor: 1 << 62})
	if !s.Refuses(now.Add(maxRefusal-1)) || s.Refuses(now.Add(maxRefusal)) {
		t.Errorf("the upstream does not refuse for %v", maxRefusal)
	}
}
