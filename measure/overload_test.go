package measure

import (
	"testing"
	"time"

	"figbank/placement"
)

// urgentLoad has three kinds of requests: the most urgent ones have the longest prompts and answers.
func urgentLoad(perSecond float64) Load {
	return Load{
		Rate:   func(time.Duration) float64 { return perSecond },
		Length: 15 * time.Second,
		Kinds: []LoadKind{
			{Name: "urgent", Urgency: placement.Urgency{Route: 0}, Share: 0.39, Prompt: 1290, Events: 21, Target: 400 * time.Millisecond, Worth: 3.6, Late: 0.35},
			{Name: "usual", Urgency: placement.Urgency{Route: 1}, Share: 0.27, Prompt: 787, Events: 21, Target: 400 * time.Millisecond, Worth: 1.7, Late: 0.41},
			{Name: "least", Urgency: placement.Urgency{Route: 2}, Share: 0.34, Prompt: 607, Events: 10, Target: 800 * time.Millisecond, Worth: 0.49, Late: 0.19},
		},
	}
}

func logOutcome(t *testing.T, name string, o *LoadOutcome) {
	t.Helper()
	for i, k := range append(o.Kinds, o.total()) {
		t.Logf("%s, kind %d: earned %.2f, served %.2f, in time %.2f, refused twice %.2f", name, i, k.share(), k.served(),
			float64(k.InTime)/float64(max(1, k.Asked)), float64(k.RefusedAgain)/float64(max(1, k.Asked)))
	}
}

// More is asked than thirty engines serve. Without an order, the most urgent callers were served worst, since a long prompt finds a
// place in time more seldom.
func TestUrgentCallersComeFirst(t *testing.T) {
	scenarios := []struct {
		name string
		load Load
		// urgent and all are the least shares of worth that are earned.
		urgent, all float64
	}{
		{name: "step to somewhat too much", load: urgentLoad(340), urgent: 0.9, all: 0.78},
		{name: "all kinds half as much again", load: urgentLoad(400), urgent: 0.85, all: 0.7},
		{name: "burst of the least urgent kind", load: func() Load {
			l := urgentLoad(280)
			l.Burst = func(kind int, at time.Duration) float64 {
				if kind == 2 && at > 3*time.Second && at < 9*time.Second {
					return 2.2
				}
				return 1
			}
			return l
		}(), urgent: 0.93, all: 0.85},
		{name: "one workspace floods", load: func() Load {
			l := urgentLoad(400)
			l.Flood = 0.4
			return l
		}(), urgent: 0.85, all: 0.68},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			before, after := ReplayLoad(s.load, Order{}, seed), ReplayLoad(s.load, Order{Ranks: true}, seed)
			logOutcome(t, "without an order", before)
			logOutcome(t, "by rank", after)
			if got := before.total().share(); got >= s.all {
				t.Errorf("without an order %.2f is earned, want a load that needs one", got)
			}
			if got := after.Kinds[0].share(); got < s.urgent {
				t.Errorf("urgent callers earn %.2f, want at least %.2f", got, s.urgent)
			}
			if got := after.total().share(); got < s.all {
				t.Errorf("all together earn %.2f, want at least %.2f", got, s.all)
			}
			checkShares(t, after)
		})
	}
}

// checkShares checks that no kind, workspace or size is left without service: each gets a quarter of the share of all at least, and
// large requests half of what all get.
func checkShares(t *testing.T, o *LoadOutcome) {
	t.Helper()
	all := o.total().served()
	for i, k := range o.Kinds {
		if k.served() < all/4 {
			t.Errorf("kind %d is served %.2f, all %.2f", i, k.served(), all)
		}
	}
	for workspace, k := range o.Workspaces {
		if k.served() < all/4 {
			t.Errorf("workspace %s is served %.2f, all %.2f", workspace, k.served(), all)
		}
	}
	if o.Large.served() < all/2 {
		t.Errorf("large requests are served %.2f, all %.2f", o.Large.served(), all)
	}
}

// Demand differs between three failure domains, or moves from one to the next. Callers must be served as well as when each request
// leaves for any gain, with less traffic between domains; where all are full, none must swap its callers for those of another.
func TestLeavingTheDomainPays(t *testing.T) {
	even := func(int, time.Duration) float64 { return 1 }
	scenarios := []struct {
		name string
		rate float64
		skew func(domain int, at time.Duration) float64
		// loss is how much less may be earned, away the largest share of requests that leave.
		loss, away float64
	}{
		{name: "room everywhere", rate: 220, skew: even, loss: 0.01, away: 0.01},
		{name: "all full", rate: 300, skew: even, loss: 0, away: 0.05},
		{name: "one at 1.7 times its demand", rate: 220, skew: func(d int, _ time.Duration) float64 { return []float64{1.7, 0.65, 0.65}[d] }, loss: 0.01, away: 0.15},
		{name: "two short, one idle", rate: 260, skew: func(d int, _ time.Duration) float64 { return []float64{1.3, 1.3, 0.4}[d] }, loss: 0.03, away: 0.2},
		{name: "demand that moves", rate: 260, skew: func(d int, at time.Duration) float64 {
			if int(at/(2*time.Second))%3 == d {
				return 1.8
			}
			return 0.6
		}, loss: 0.03, away: 0.22},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			replayed := urgentLoad(s.rate)
			replayed.Kinds = []LoadKind{{Name: "all", Share: 1, Prompt: 900, Events: 18, Target: 400 * time.Millisecond, Worth: 1, Late: 0.25}}
			replayed.Domains, replayed.Skew = 3, s.skew
			before, after := ReplayLoad(replayed, Order{}, seed), ReplayLoad(replayed, Order{HomeFirst: true}, seed)
			awayOf := func(o *LoadOutcome) float64 { return float64(o.Away) / float64(o.total().Asked) }
			t.Logf("earned %.3f before, %.3f after; away %.3f before, %.3f after", before.total().share(), after.total().share(), awayOf(before), awayOf(after))
			if got, want := after.total().share(), before.total().share()-s.loss; got < want {
				t.Errorf("callers earn %.3f, want at least %.3f", got, want)
			}
			if got := awayOf(after); got > s.away || got > awayOf(before) {
				t.Errorf("%.3f of the requests leave, want at most %.3f, and no more than the %.3f of before", got, s.away, awayOf(before))
			}
		})
	}
}
