package placement

import (
	"time"

	"figbank/latency"
)

// fullPressure is the share of refused requests from which all requests get the common limit.
const fullPressure = 0.1

type (
	// Kind is a kind of request that competes for the engines of a service.
	Kind struct {
		// LatencyTarget is the objective for the time to the first event.
		LatencyTarget time.Duration
		// LargePrompt is the length of a large prompt of this kind, in tokens.
		LargePrompt int
	}

	// Competition decides how long requests of a service may be predicted to wait while callers ask
	// for more than its engines can serve. If each request went by its own objective, engines would
	// be filled until the next small request would just miss it. One that takes longer itself would
	// then be beyond that point at nearly every try, however often its caller comes back.
	Competition struct {
		// Engine predicts the latencies of the service's engines.
		Engine *latency.Predictor
		// Kinds are the kinds of requests that have come lately.
		Kinds []Kind
		// Pressure is the share of requests that were refused lately since all engines were full.
		Pressure float64
	}
)

// Limit returns the longest predicted time to the first event with which a request is placed, not
// corrected by drift. Without pressure this is the request's own objective. Under pressure all requests of the
// service may wait equally long for their own prompt to be read, so short that a large one still
// begins in time. A request is placed in any case while an engine has a free place: an answer that
// begins late is worth more than none.
func (c Competition) Limit(latencyTarget time.Duration, promptTokens int, drift float64) time.Duration {
	own := c.Engine.PromptTime(promptTokens)
	wait := correct(latencyTarget, drift) - own
	if common, found := c.commonWait(drift); found {
		wait += time.Duration(min(1, c.Pressure/fullPressure) * float64(common-wait))
	}
	return max(wait, c.waitForLastPlace()) + own
}

// commonWait returns the longest wait with which a large request of each kind begins in time. It returns
// false if no kind is known.
func (c Competition) commonWait(drift float64) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, kind := range c.Kinds {
		wait := correct(kind.LatencyTarget, drift) - c.Engine.PromptTime(kind.LargePrompt)
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// waitForLastPlace returns the predicted wait of a request that takes the last free place of an engine.
func (c Competition) waitForLastPlace() time.Duration {
	return c.Engine.TimeToFirstEvent(max(1, c.Engine.Slots())-1, 0)
}

// correct returns the predicted time that stands for an actual one.
func correct(actual time.Duration, drift float64) time.Duration {
	return time.Duration(float64(actual) / max(1, drift))
}
