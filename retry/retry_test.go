package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"figbank"
)

func TestDecide(t *testing.T) {
	unreachable := figbank.NotRunError{Reason: figbank.ReasonUnreachable}
	full := figbank.NotRunError{Reason: figbank.ReasonUpstreamFull}
	gone := figbank.NotRunError{Reason: figbank.ReasonCallerGone}
	unknown := figbank.UnknownOutcomeError{}
	scenarios := []struct {
		name    string
		failure Failure
		spent   bool
		want    Action
	}{
		{name: "proved not to have run", failure: Failure{Err: unreachable}, want: RetryElsewhere},
		{name: "proved not to have run, wrapped", failure: Failure{Err: figbank.WrapError("p", "c", unreachable)}, want: RetryElsewhere},
		{name: "no budget left", failure: Failure{Err: unreachable}, spent: true, want: BudgetSpent},
		{name: "a full upstream takes no budget", failure: Failure{Err: full}, spent: true, want: Requeue},
		{name: "unknown outcome, not repeatable", failure: Failure{Err: unknown}, want: GiveUp},
		{name: "unknown outcome, repeatable", failure: Failure{Err: unknown, Repeatable: true}, want: RetryElsewhere},
		{name: "the caller has part of the answer", failure: Failure{Err: unknown, Repeatable: true, AnswerStarted: true}, want: GiveUp},
		{name: "the caller is gone", failure: Failure{Err: gone, Repeatable: true}, want: GiveUp},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			budget := NewBudget(20, now)
			if !s.spent {
				now = now.Add(time.Minute)
			}
			if got := Decide(now, s.failure, budget); got != s.want {
				t.Errorf("Decide() = %v, want %v", got, s.want)
			}
		})
	}
}

// TestBudgetBoundsRetries counts the attempts with a budget when every attempt fails.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests, maxAttempts = 1000, 4
	attempts := func(allowed func() bool) int {
		total := 0
		for range requests {
			total++
			for range maxAttempts - 1 {
				if !allowed() {
					break
				}
				total++
			}
		}
		return total
	}
	now := time.Unix(100, 0)
	budget := NewBudget(20, now.Add(-time.Minute))
	deposits := 0
	got := attempts(func() bool {
		// There are as many deposits as requests, one with each of the first withdrawals. A
		// refused withdrawal ends the attempts of a request.
		if deposits < requests {
			deposits++
			budget.Deposit(now)
		}
		return budget.Withdraw(now)
	})
	unlimited := attempts(func() bool { return true })
	if want := requests + requests/5 + int(defaultMaxTokens); got > want {
		t.Errorf("attempts = %d, want at most %d; without a budget: %d", got, want, unlimited)
	}
}

func TestDelayIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt := 1; attempt < 100; attempt++ {
		if got := Delay(attempt, random); got <= 0 || got > maxDelay {
			t.Errorf("Delay(%d) = %v, want more than 0 and at most %v", attempt, got, maxDelay)
		}
	}
}
