package retry

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"figbank"
)

// A request is refused as not run only if every one of its attempts proved that, whichever
// attempt came last.
func TestOutcomeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var outcome Outcome
		mayHaveRun := 0
		for _, proved := range rapid.SliceOf(rapid.Bool()).Draw(t, "attempts that proved not to have run") {
			if proved {
				outcome.Record(figbank.WrapError("test", "Refused", figbank.NotRunError{Reason: figbank.ReasonUpstreamBusy}))
				continue
			}
			outcome.Record(figbank.UnknownOutcomeError{Detail: "lost"})
			mayHaveRun++
		}
		if got := outcome.MayHaveRun(); got != mayHaveRun {
			t.Errorf("MayHaveRun() = %d, want %d", got, mayHaveRun)
		}
		err := outcome.Error(figbank.NotRunError{Reason: figbank.ReasonQueueFull})
		if got, want := errors.As(err, new(figbank.NotRunError)), mayHaveRun == 0; got != want {
			t.Errorf("Error() = %v, a NotRunError: %v, want %v", err, got, want)
		}
	})
}
