package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestLeavingTheFailureDomain(t *testing.T) {
	demand := Demand{PromptTokens: 900, LatencyTarget: 400 * time.Millisecond, TimeLeft: 6 * time.Second}
	scenarios := []struct {
		name       string
		candidates []Candidate
		leaving    Leaving
		want       int
	}{
		{name: "home is quick enough, another one is empty", candidates: []Candidate{model(4, true), model(0, false)}, leaving: Leaving{HomeFirst: true, HomeShare: 1}, want: 0},
		{name: "home queues, another one has room", candidates: []Candidate{model(20, true), model(3, false)}, leaving: Leaving{HomeFirst: true, HomeShare: 1}, want: 1},
		{name: "home queues, the other one has its last place left", candidates: []Candidate{model(17, true), model(15, false)}, leaving: Leaving{HomeFirst: true, HomeShare: 1}, want: 0},
		{name: "the last place is taken by callers without a home", candidates: []Candidate{model(15, false)}, leaving: Leaving{HomeFirst: true, Stays: true}, want: 0},
		{name: "home queues, and others have refused", candidates: []Candidate{model(17, true), model(3, false)}, leaving: Leaving{HomeFirst: true, HomeShare: 1, Stays: true}, want: 0},
		{name: "home is full for good", candidates: []Candidate{model(60, true), model(3, false)}, leaving: Leaving{HomeFirst: true, HomeShare: 1, Stays: true}, want: -1},
		{name: "leaving is not worth its price", candidates: []Candidate{model(18, true), model(3, false)}, leaving: Leaving{Cost: time.Minute}, want: 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			for range 50 {
				d := demand
				d.Leaving = s.leaving
				if got := Decide(d, s.candidates, random).Index; got != s.want {
					t.Fatalf("Decide() chooses %d, want %d", got, s.want)
				}
			}
		})
	}
}

// Another domain that fills up is left alone within some refusals, and used again when it has room, without a swing from one to
// the other.
func TestShareThatMayLeave(t *testing.T) {
	var away Away
	if got := away.Share(); got != 1 {
		t.Errorf("share at first = %.2f, want 1", got)
	}
	for range 80 {
		away.RecordRefused()
	}
	if got := away.Share(); got < leastAway-0.001 || got > 0.2 {
		t.Errorf("share after refusals = %.2f, want %.2f to 0.20", got, leastAway)
	}
	away.RecordTaken()
	if got := away.Share(); got > 0.3 {
		t.Errorf("share after one success = %.2f, want at most 0.30", got)
	}
	for range 30 {
		away.RecordTaken()
	}
	if got := away.Share(); got != 1 {
		t.Errorf("share after successes = %.2f, want 1", got)
	}
}
