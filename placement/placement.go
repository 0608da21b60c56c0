// Package placement chooses the upstream for a request, or refuses the request at once
// with a delay after which to retry. It is designed for these load patterns: a step to
// saturation, in which every upstream fills up within a second and load counts lag
// behind; one failure domain that is busier than the others; and an upstream that looks
// fast because it quickly refuses the requests that would have to queue.
package placement

import (
	"cmp"
	"math/rand/v2"
	"time"

	"figbank"
	"figbank/latency"
)

const (
	// spillCost is how much sooner an upstream in another failure domain must answer to
	// be preferred, unless operators set another time.
	spillCost = 40 * time.Millisecond
	// plainServiceTime is the assumed time that an upstream without an engine model
	// spends on one request.
	plainServiceTime = 60 * time.Millisecond
	// maxJitter bounds the random time that is added to each upstream's cost. Load counts
	// lag, so without it all gateways would choose the least loaded upstream at the same
	// time and overload it.
	maxJitter = 100 * time.Millisecond

	// comfortShare is the share of the allowed time within which an answer is predicted to begin that is surely in time.
	comfortShare = 0.7

	// minWait and maxWait bound the wait that a refusal asks for, before jitter.
	minWait = 300 * time.Millisecond
	maxWait = 1500 * time.Millisecond
	// noUpstreamWait is the wait when no upstream may take the request.
	noUpstreamWait = time.Second
)

type (
	// Candidate is an upstream that may take the request.
	Candidate struct {
		// Outstanding is the number of requests that the upstream holds, running or waiting.
		Outstanding int
		// PendingTokens is the length of the prompts that an engine has still to process. It is
		// used only if Exact is set.
		PendingTokens int
		Exact         bool
		// Slots is the number of requests that it runs at once. It is used only without Engine.
		Slots int
		// Engine predicts the upstream's latencies, nil for services without an engine.
		Engine *latency.Predictor
		// SameDomain is set for upstreams of the gateway's own failure domain.
		SameDomain bool
		// Slowdown is how many times as long as usual work takes at the upstream now, 0 for 1.
		Slowdown float64
		// Delay is the round-trip time to the upstream.
		Delay time.Duration
		// Penalty is added to the upstream's cost, but not to its predicted time. It is above 0
		// when the upstream has failed or has been late.
		Penalty time.Duration
		// Known is the predicted time that the keeper of the upstream's places has told, 0 if it
		// was not asked.
		Known time.Duration
		// Full upstreams have no capacity left for this gateway and are never chosen.
		Full bool
	}

	// Demand describes the request to place.
	Demand struct {
		// PromptTokens is the number of tokens that an engine has to read.
		PromptTokens int
		// LatencyTarget is the objective for the time to the first byte or event.
		LatencyTarget time.Duration
		// Limit, unless it is 0, takes the place of LatencyTarget. It is a predicted time, not to be
		// corrected by Drift.
		Limit time.Duration
		// KeepFree is the number of places that the request must leave free at an upstream with an engine.
		KeepFree int
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		// Waited is the time since the request arrived, which counts against the objective.
		Waited time.Duration
		// Leaving tells how the request may leave its failure domain.
		Leaving Leaving
		// Drift is the ratio of the actual to the predicted time until answers begin, 1 or
		// more; 0 stands for 1.
		Drift float64
	}

	// Decision is the chosen candidate, or a refusal with the delay after which to retry.
	Decision struct {
		// Index is the index of the chosen candidate, -1 for a refusal.
		Index int
		// Predicted is the predicted time to the first byte or event at the candidate with the lowest
		// cost, not corrected by Drift. It is 0 if there was no candidate.
		Predicted time.Duration
		// Reason and RetryAfter are set only for a refusal.
		Reason     figbank.Reason
		RetryAfter time.Duration
	}
)

// Decide chooses the candidate with the lowest cost: its predicted time plus its penalty,
// the cost of leaving the failure domain, and a random jitter. When the chosen candidate
// would miss the latency objective or the deadline, the request is refused: its late answer
// would be worth little and would delay the requests behind it. It is also refused when
// there is no candidate that is not full.
func Decide(demand Demand, candidates []Candidate, random *rand.Rand) Decision {
	best, bestCost, bestPredicted := -1, time.Duration(0), time.Duration(0)
	full := false
	staysHome := demand.Leaving.staysHome(demand, candidates)
	for i, candidate := range candidates {
		if candidate.Full || staysHome && !candidate.SameDomain || !LeavesFree(candidate, demand.KeepFreeAt(candidate)) {
			full = full || !candidate.Full
			continue
		}
		predicted := predictionOf(demand, candidate)
		cost := demand.worthOf(predicted, candidate) + candidate.Penalty + time.Duration(random.Int64N(int64(maxJitter)))
		if !candidate.SameDomain {
			cost += cmp.Or(demand.Leaving.Cost, spillCost)
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestPredicted = i, cost, predicted
		}
	}
	if best < 0 && full {
		return Refuse(figbank.ReasonQueueFull, 0, random)
	}
	if best < 0 {
		return Refuse(figbank.ReasonNoUpstream, noUpstreamWait, random)
	}
	if excess := bestPredicted - demand.Allowed(); excess > 0 {
		refusal := Refuse(figbank.ReasonQueueFull, excess, random)
		refusal.Predicted = bestPredicted
		return refusal
	}
	return Decision{Index: best, Predicted: bestPredicted}
}

// predictionOf returns the predicted time to a candidate's first byte or event.
func predictionOf(demand Demand, candidate Candidate) time.Duration {
	return cmp.Or(candidate.Known, Predict(demand.PromptTokens, candidate))
}

// KeepFreeAt returns the number of places that the request must leave free at a candidate.
func (d Demand) KeepFreeAt(candidate Candidate) int {
	return max(d.KeepFree, d.Leaving.guestPlaces(candidate))
}

// comfort is the longest predicted time that is surely in time.
func (d Demand) comfort() time.Duration {
	return time.Duration(comfortShare * float64(d.Allowed()))
}

// worthOf returns the predicted time as it counts for the choice. A slow upstream whose answer begins in time all the same is as good
// as others: if all kept away from it, these would fill up.
func (d Demand) worthOf(predicted time.Duration, candidate Candidate) time.Duration {
	if candidate.Slowdown > 1 && predicted <= d.comfort() {
		return time.Duration(float64(predicted) / candidate.Slowdown)
	}
	return predicted
}

// LeavesFree reports whether as many places stay free at the candidate if it takes one request more.
func LeavesFree(candidate Candidate, keep int) bool {
	return keep <= 0 || candidate.Engine == nil || candidate.Outstanding+1+keep <= candidate.Engine.Slots()
}

// Allowed returns the longest predicted time with which the request is placed.
func (d Demand) Allowed() time.Duration {
	limit := cmp.Or(d.Limit, correct(d.LatencyTarget, d.Drift))
	return min(limit, correct(d.TimeLeft, d.Drift)) - correct(d.Waited, d.Drift)
}

// Predict returns the predicted time to the candidate's first byte or event. Without an
// engine model, the time grows in proportion to the candidate's requests, by
// plainServiceTime/4 for as many requests as it has slots. If no slot is free, the wait for
// one is added. All work takes longer while the upstream is slow.
func Predict(promptTokens int, candidate Candidate) time.Duration {
	slowdown := cmp.Or(candidate.Slowdown, 1)
	scaled := func(work time.Duration) time.Duration { return time.Duration(float64(work)*slowdown) + candidate.Delay }
	switch {
	case candidate.Engine != nil && candidate.Exact:
		return scaled(candidate.Engine.TimeToFirstEventBehind(candidate.Outstanding, candidate.PendingTokens, promptTokens))
	case candidate.Engine != nil:
		return scaled(candidate.Engine.TimeToFirstEvent(candidate.Outstanding, promptTokens))
	}
	slots := max(1, candidate.Slots)
	waiting := max(0, candidate.Outstanding-slots+1)
	busy := plainServiceTime * time.Duration(candidate.Outstanding) / time.Duration(slots) / 4
	// The time of the request itself is left out: it is the same at all upstreams that work as usual.
	slower := time.Duration((slowdown - 1) * float64(plainServiceTime))
	return scaled(busy+plainServiceTime*time.Duration(waiting)/time.Duration(slots)) + max(0, slower)
}

// Refuse returns a refusal. It limits wait to the range from minWait to maxWait. The retry
// delay is drawn at random between that wait and twice as much, so that callers do not all
// retry together.
func Refuse(reason figbank.Reason, wait time.Duration, random *rand.Rand) Decision {
	wait = min(max(wait, minWait), maxWait)
	return Decision{Index: -1, Reason: reason, RetryAfter: wait + time.Duration(random.Int64N(int64(wait)))}
}

// RefuseUntil returns a refusal when no upstream may be asked before the given time has passed. The retry delay
// is not shorter, and drawn at random above it, so that callers do not all retry together.
func RefuseUntil(reason figbank.Reason, wait time.Duration, random *rand.Rand) Decision {
	return Decision{Index: -1, Reason: reason, RetryAfter: wait + time.Duration(random.Int64N(int64(max(minWait, wait/2))))}
}
