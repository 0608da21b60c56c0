package placement

import (
	"math"
	"time"

	"figbank/latency"
)

const (
	// fullPressure is the share of refused requests from which sizes make no difference any more.
	fullPressure = 0.1
	// headroomShare is the share of the time that a large prompt takes beyond a usual one by which all
	// requests wait less. The rest is what a large one may begin late.
	headroomShare = 0.5
	// fullUrgentPressure is the share of refused more urgent requests from which as many places are kept free for them
	// as ever, keptShare the share of an engine's places that is kept free then.
	fullUrgentPressure = 0.25
	keptShare          = 0.9
	// WaitStep is the pause before a request that waits for a place asks again. maxPlaceWait is how long one waits at most.
	WaitStep     = 25 * time.Millisecond
	maxPlaceWait = 100 * time.Millisecond
)

type (
	// Kind is a kind of request that competes for the engines of a service. It has the lengths of a usual
	// and of a large prompt, in tokens. The zero value stands for an unknown kind.
	Kind struct {
		UsualPrompt, LargePrompt int
	}

	// Competition decides how long requests of a service may be predicted to wait while callers ask
	// for more than its engines can serve. If each request went by its own objective, engines would
	// be filled until the next small request would just miss it. One that takes longer itself would
	// then be beyond that point at nearly every try, however often its caller comes back.
	Competition struct {
		// Engine predicts the latencies of the service's engines.
		Engine *latency.Predictor
		// Own is the kind of the request, Kinds are all kinds that have come lately.
		Own   Kind
		Kinds []Kind
		// Pressure is the share of requests that were refused lately since all engines were full.
		Pressure float64
		// UrgentPressure is that share among more urgent requests. It is 0 for a request that is owed a place by the share of
		// its route or workspace.
		UrgentPressure float64
		// Ranked is set if requests of different urgency compete. Rank is then the number of more urgent ranks.
		Ranked bool
		Rank   int
	}
)

// With returns the competition for engines of the given model.
func (c Competition) With(engine *latency.Predictor) Competition {
	c.Engine = engine
	return c
}

// Limit returns the longest predicted time to the first event with which a request is placed, not
// corrected by drift. Without pressure this is the request's own objective. Under pressure all requests of a
// kind may wait equally long for their own prompt to be read: as long as a usual one, less a headroom that is
// the same for all kinds, so that none is preferred to another. A request is placed in any case while
// an engine has a free place: an answer that begins late is worth more than none.
func (c Competition) Limit(latencyTarget time.Duration, promptTokens int, drift float64) time.Duration {
	own := c.Engine.PromptTime(promptTokens)
	wait := correct(latencyTarget, drift) - own
	if c.Own.UsualPrompt > 0 {
		common := correct(latencyTarget, drift) - c.Engine.PromptTime(c.Own.UsualPrompt) - c.headroom()
		wait += time.Duration(min(1, c.Pressure/fullPressure) * float64(common-wait))
	}
	return max(wait, c.waitForLastPlace()) + own
}

// KeepFree returns how many places of an engine the request must leave free for more urgent ones. They come one by one, and
// each place that a less urgent request has taken is gone for the time that a whole answer takes.
func (c Competition) KeepFree() int {
	return int(math.Ceil(min(1, c.UrgentPressure/fullUrgentPressure) * keptShare * float64(c.Engine.Slots())))
}

// MayWait reports whether a request that finds no place waits a moment for one, before it is refused. Places that come free are for
// those of which no more urgent ones are short.
func (c Competition) MayWait(waited time.Duration) bool {
	return c.Ranked && c.KeepFree() == 0 && waited+WaitStep <= maxPlaceWait
}

// headroom returns by how much less than a usual request all requests wait.
func (c Competition) headroom() time.Duration {
	most := time.Duration(0)
	for _, kind := range c.Kinds {
		most = max(most, c.Engine.PromptTime(kind.LargePrompt)-c.Engine.PromptTime(kind.UsualPrompt))
	}
	return time.Duration(headroomShare * float64(most))
}

// waitForLastPlace returns the predicted wait of a request that takes the last free place of an engine.
func (c Competition) waitForLastPlace() time.Duration {
	return c.Engine.TimeToFirstEvent(max(1, c.Engine.Slots())-1, 0)
}

// correct returns the predicted time that stands for an actual one.
func correct(actual time.Duration, drift float64) time.Duration {
	return time.Duration(float64(actual) / max(1, drift))
}
