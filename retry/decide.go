package retry

import (
	"errors"
	"time"

	"figbank"
)

// Actions after a failed attempt.
const (
	// GiveUp returns the failure to the caller.
	GiveUp Action = iota
	// Requeue waits for capacity again. Nothing is taken from the retry budget, since the
	// upstream refused the request before it did any work.
	Requeue
	// RetryElsewhere retries at another upstream. One retry has been taken from the budget.
	RetryElsewhere
	// BudgetSpent returns the failure to the caller, since no retry is left in the budget.
	BudgetSpent
)

type (
	// Action is what to do after a failed attempt.
	Action int

	// Failure describes a failed attempt.
	Failure struct {
		Err error
		// Repeatable is set when the call may run more than once.
		Repeatable bool
		// AnswerStarted is set once the caller has received a part of the answer.
		AnswerStarted bool
	}
)

// Decide returns what to do after a failed attempt. It never retries a call that may have
// run and is not repeatable, nor one whose caller has received part of an answer.
func Decide(now time.Time, failure Failure, budget *Budget) Action {
	var notRun figbank.NotRunError
	provedNotRun := errors.As(failure.Err, &notRun)
	switch {
	case failure.AnswerStarted:
		return GiveUp
	case provedNotRun && notRun.Reason == figbank.ReasonCallerGone:
		return GiveUp
	case provedNotRun && notRun.Reason == figbank.ReasonUpstreamFull:
		return Requeue
	case !provedNotRun && !failure.Repeatable:
		return GiveUp
	case budget.Withdraw(now):
		return RetryElsewhere
	}
	return BudgetSpent
}

// Ends reports whether the request goes no further.
func (a Action) Ends() bool {
	return a == GiveUp || a == BudgetSpent
}
