package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"figbank"
	"figbank/latency"
	"figbank/schema"
)

func engine() *latency.Predictor {
	return latency.NewPredictor(&schema.EngineModel{
		Slots: 16, Stride: 6, StepMilliseconds: 7.4, StepPerRequestMilliseconds: 0.0387,
		ReadTokensPerSecond: 31900, UsualPromptTokens: 973, UsualAnswerTokens: 106,
	})
}

func model(outstanding int, sameDomain bool) Candidate {
	return Candidate{Outstanding: outstanding, Slots: 16, Engine: engine(), SameDomain: sameDomain}
}

func TestDecide(t *testing.T) {
	full := model(0, true)
	full.Full = true
	failing := model(0, true)
	failing.Penalty = time.Second
	demand := Demand{PromptTokens: 900, LatencyTarget: 400 * time.Millisecond, TimeLeft: 6 * time.Second}
	scenarios := []struct {
		name       string
		candidates []Candidate
		want       int
		reason     figbank.Reason
		// share is the lowest percentage of draws in which the wanted candidate must be chosen.
		share int
	}{
		{name: "the less loaded of two near ones", candidates: []Candidate{model(17, true), model(3, true)}, want: 1, share: 85},
		{name: "near is preferred to slightly less loaded", candidates: []Candidate{model(3, false), model(5, true)}, want: 1, share: 65},
		{name: "spills when the near one queues", candidates: []Candidate{model(20, true), model(3, false)}, want: 1, share: 95},
		{name: "a full one gets nothing even without outstanding requests", candidates: []Candidate{full, model(15, true)}, want: 1, share: 100},
		{name: "one with a penalty is chosen last", candidates: []Candidate{failing, model(3, false)}, want: 1, share: 100},
		{name: "a penalty alone causes no refusal", candidates: []Candidate{failing}, want: 0, share: 100},
		{name: "refuses at saturation", candidates: []Candidate{model(40, true), model(40, false)}, want: -1, reason: figbank.ReasonQueueFull, share: 100},
		{name: "refuses without candidates", want: -1, reason: figbank.ReasonNoUpstream, share: 100},
	}
	const draws = 400
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			chosen := 0
			for range draws {
				got := Decide(demand, s.candidates, random)
				if got.Reason != s.reason {
					t.Fatalf("reason of Decide() = %q, want %q", got.Reason, s.reason)
				}
				if got.Index == s.want {
					chosen++
				}
			}
			if least := draws * s.share / 100; chosen < least {
				t.Errorf("candidate %d was chosen %d times of %d, want at least %d", s.want, chosen, draws, least)
			}
		})
	}
}

// Eight gateways with the same outdated counts choose at the same moment among ten
// upstreams, one of which appears slightly less loaded than the others.
func TestGatewaysWithTheSameCountsSpreadTheirChoices(t *testing.T) {
	const gateways, upstreams, rounds = 8, 10, 50
	var candidates []Candidate
	for range upstreams - 1 {
		candidates = append(candidates, model(8, true))
	}
	candidates = append(candidates, model(7, true))
	demand := Demand{PromptTokens: 900, LatencyTarget: 400 * time.Millisecond, TimeLeft: 6 * time.Second}
	random := rand.New(rand.NewPCG(5, 6))
	worst := 0
	for range rounds {
		counts := map[int]int{}
		for range gateways {
			counts[Decide(demand, candidates, random).Index]++
		}
		for _, count := range counts {
			worst = max(worst, count)
		}
	}
	if most := gateways / 2; worst > most {
		t.Errorf("%d of %d gateways chose the same upstream, want at most %d", worst, gateways, most)
	}
}

// The load steps far beyond the capacity. Accepted requests are predicted to meet
// their objective, the others are refused at once, and refused callers do not all retry
// together.
func TestStepToSaturation(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	candidates := []Candidate{model(0, true), model(0, true), model(0, false)}
	demand := Demand{PromptTokens: 900, LatencyTarget: 400 * time.Millisecond, TimeLeft: 6 * time.Second}
	refusedByDelay := map[time.Duration]int{}
	refused := 0
	for range 200 {
		got := Decide(demand, candidates, random)
		if got.Index < 0 {
			refused++
			refusedByDelay[got.RetryAfter.Round(50*time.Millisecond)]++
			continue
		}
		if got.Predicted > demand.LatencyTarget {
			t.Errorf("accepted request has a predicted time to the first event of %v, want at most %v", got.Predicted, demand.LatencyTarget)
		}
		candidates[got.Index].Outstanding++
	}
	if refused == 0 {
		t.Fatal("nothing was refused at saturation")
	}
	for delay, count := range refusedByDelay {
		if count > refused/2 {
			t.Errorf("%d of %d refused callers retry after %v", count, refused, delay)
		}
	}
}

// Answers take three times as long as predicted to begin, as at saturation with many
// gateways. A request that the prediction alone would accept is refused, unless its
// upstream has enough spare capacity.
func TestDriftRefusesLateRequests(t *testing.T) {
	scenarios := []struct {
		name        string
		outstanding int
		drift       float64
		want        int
	}{
		{name: "fits, no drift", outstanding: 16, drift: 1},
		{name: "fits, drift not set", outstanding: 16},
		{name: "would be late", outstanding: 16, drift: 3, want: -1},
		{name: "spare capacity", outstanding: 3, drift: 3},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			demand := Demand{PromptTokens: 900, LatencyTarget: 400 * time.Millisecond, TimeLeft: 6 * time.Second, Drift: s.drift}
			got := Decide(demand, []Candidate{model(s.outstanding, true)}, rand.New(rand.NewPCG(1, 2)))
			if got.Index != s.want {
				t.Errorf("Decide() = %d after %v predicted, want %d", got.Index, got.Predicted, s.want)
			}
		})
	}
}
