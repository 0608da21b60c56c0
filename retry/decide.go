package retry

import (
	"errors"

	"figbank"
)

// What to do after a failed try.
const (
	// GiveUp passes the failure on to the caller.
	GiveUp Action = iota
	// Requeue waits for capacity again; it costs no retry, since the upstream
	// refused before it did any work.
	Requeue
	// Again tries another upstream.
	Again
)

type (
	// Action is a decision.
	Action int

	// Failed describes a failed try.
	Failed struct {
		Err error
		// Repeatable calls may be run more than once.
		Repeatable bool
		// Passed is set once the caller has received a part of the answer.
		Passed bool
	}
)

// Decide says what to do after a failed try. It never runs a call twice that
// may not be repeated, nor joins parts of two answers.
func Decide(failed Failed, budget *Budget) Action {
	var notRun figbank.NotRunError
	proved := errors.As(failed.Err, &notRun)
	switch {
	case failed.Passed:
		return GiveUp
	case proved && notRun.Reason == figbank.ReasonCallerGone:
		return GiveUp
	case proved && notRun.Reason == figbank.ReasonUpstreamFull:
		return Requeue
	case !proved && !failed.Repeatable:
		return GiveUp
	case budget.Withdraw():
		return Again
	}
	return GiveUp
}
