package retry

import (
	"math/rand/v2"
	"testing"

	"figbank"
)

func TestDecide(t *testing.T) {
	unreachable := figbank.NotRunError{Reason: figbank.ReasonUnreachable}
	full := figbank.NotRunError{Reason: figbank.ReasonUpstreamFull}
	gone := figbank.NotRunError{Reason: figbank.ReasonCallerGone}
	unknown := figbank.UnknownOutcomeError{}
	scenarios := []struct {
		name   string
		failed Failed
		spent  bool
		want   Action
	}{
		{name: "a proved refusal is tried elsewhere", failed: Failed{Err: unreachable}, want: Again},
		{name: "also when wrapped", failed: Failed{Err: figbank.Fail("p", "c", unreachable)}, want: Again},
		{name: "not without budget", failed: Failed{Err: unreachable}, spent: true, want: GiveUp},
		{name: "a full upstream costs no retry", failed: Failed{Err: full}, spent: true, want: Requeue},
		{name: "unknown and not repeatable", failed: Failed{Err: unknown}, want: GiveUp},
		{name: "unknown and repeatable", failed: Failed{Err: unknown, Repeatable: true}, want: Again},
		{name: "part of the answer has been passed on", failed: Failed{Err: unknown, Repeatable: true, Passed: true}, want: GiveUp},
		{name: "the caller is gone", failed: Failed{Err: gone, Repeatable: true}, want: GiveUp},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			budget := NewBudget(20)
			for s.spent && budget.Withdraw() {
			}
			if got := Decide(s.failed, budget); got != s.want {
				t.Errorf("Decide() = %v, want %v", got, s.want)
			}
		})
	}
}

// TestBudgetBoundsRetries compares the budget with retrying always when every
// try fails.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests, maxTries = 1000, 4
	tries := func(allowed func() bool) int {
		total := 0
		for range requests {
			total++
			for range maxTries - 1 {
				if !allowed() {
					break
				}
				total++
			}
		}
		return total
	}
	budget := NewBudget(20)
	deposits := 0
	got := tries(func() bool {
		// Each request deposits once; a refused withdrawal ends its tries.
		if deposits < requests {
			deposits++
			budget.Deposit()
		}
		return budget.Withdraw()
	})
	always := tries(func() bool { return true })
	if want := requests + requests/5 + int(defaultSaved); got > want {
		t.Errorf("tries = %d, want at most %d; retrying always takes %d", got, want, always)
	}
}

func TestDelayGrows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt := 1; attempt < 100; attempt++ {
		if got := Delay(attempt, random); got <= 0 || got > lastDelay {
			t.Errorf("Delay(%d) = %v, want above 0 and at most %v", attempt, got, lastDelay)
		}
	}
}
