// Package placement decides where a request goes, or that it is refused at once
// with a time to come back. It answers these load patterns: a step to
// saturation, in which every upstream fills within a second and counts of load
// lag behind; one failure domain
// that is fuller than the others; and an upstream whose queue hides behind fast
// refusals.
package placement

import (
	"math/rand/v2"
	"time"

	"figbank"
	"figbank/pace"
)

const (
	// spillCost is how much sooner another failure domain must answer to be
	// preferred, for what its link costs.
	spillCost = 40 * time.Millisecond
	// plainTurn is the time that one request takes of a plain service's upstream
	// when nothing better is known.
	plainTurn = 60 * time.Millisecond
	// spread is up to how much an upstream's cost is raised at random: counts of
	// load lag, and gateways that all chose the emptiest would fill it together.
	spread = 100 * time.Millisecond

	leastReturn = 300 * time.Millisecond
	mostReturn  = 1500 * time.Millisecond
	emptyReturn = time.Second
)

type (
	// Candidate is an upstream that may take the request.
	Candidate struct {
		// Outstanding is how many requests it holds, running or waiting.
		Outstanding int
		Slots       int
		// Engine predicts its speed; nil for plain services.
		Engine *pace.Engine
		// Near is set for upstreams of the gateway's own failure domain.
		Near bool
		// Delay is the time to it and back.
		Delay time.Duration
		// Setback makes it the later choice for having failed, whatever its speed.
		Setback time.Duration
		// Full upstreams refused or have no connection left; they get nothing now.
		Full bool
	}

	// Demand is what placing a request needs to know.
	Demand struct {
		// Prompt counts the tokens that an engine has to read.
		Prompt int
		// Target is the latency objective for the first byte or event.
		Target time.Duration
		// Left is the time until the request's deadline.
		Left time.Duration
		// Waited is the time that has passed since the request came in.
		Waited time.Duration
		// Drift is how many times as long as predicted answers take to begin, 1 or
		// more; 0 stands for 1.
		Drift float64
	}

	// Decision is where to send a request, or when its caller may come back.
	Decision struct {
		// Index is the chosen candidate's, -1 for a refusal.
		Index int
		// Predicted is the time to its first byte or event.
		Predicted  time.Duration
		Reason     figbank.Reason
		RetryAfter time.Duration
	}
)

// Decide chooses the candidate that is predicted to answer first. When even
// that one would miss the latency objective, the request is refused: sent all
// the same, it would earn little and make those behind it late too.
func Decide(demand Demand, candidates []Candidate, random *rand.Rand) Decision {
	best, bestCost, bestPredicted := -1, time.Duration(0), time.Duration(0)
	for i, candidate := range candidates {
		if candidate.Full {
			continue
		}
		predicted := predict(demand, candidate)
		cost := predicted + candidate.Setback + time.Duration(random.Int64N(int64(spread)))
		if !candidate.Near {
			cost += spillCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestPredicted = i, cost, predicted
		}
	}
	if best < 0 {
		return refuse(figbank.ReasonNoUpstream, emptyReturn, random)
	}
	limit := min(demand.Target, demand.Left)
	expected := time.Duration(float64(bestPredicted) * max(1, demand.Drift))
	if excess := demand.Waited + expected - limit; excess > 0 {
		return refuse(figbank.ReasonQueueFull, excess, random)
	}
	return Decision{Index: best, Predicted: bestPredicted}
}

func predict(demand Demand, candidate Candidate) time.Duration {
	if candidate.Engine != nil {
		return candidate.Engine.First(candidate.Outstanding, demand.Prompt) + candidate.Delay
	}
	slots := max(1, candidate.Slots)
	waiting := max(0, candidate.Outstanding-slots+1)
	busy := plainTurn * time.Duration(candidate.Outstanding) / time.Duration(slots) / 4
	return busy + plainTurn*time.Duration(waiting)/time.Duration(slots) + candidate.Delay
}

// refuse spreads the callers' returns over as long again as they have to wait.
func refuse(reason figbank.Reason, wait time.Duration, random *rand.Rand) Decision {
	wait = min(max(wait, leastReturn), mostReturn)
	return Decision{Index: -1, Reason: reason, RetryAfter: wait + time.Duration(random.Int64N(int64(wait)))}
}
