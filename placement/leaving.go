package placement

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// guestShare is the share of an engine's places that requests of other failure domains leave free while their own
	// domain has its part of the upstreams: each domain's callers come first there.
	guestShare = 1.0 / 12
	// leastAway is the least share of requests that may leave, so that it is noticed when there is room again.
	leastAway = 0.1
	// awayLoss is the part of that share that is lost when another domain refuses a request, awayGain what is won when one
	// takes it. A domain that fills up is thus left alone within a few refusals, and load moves slowly into one that has room.
	awayLoss = 0.03
	awayGain = 0.05
	// homeComfort is the share of the allowed time within which an answer at home is predicted to begin that leaves no reason to
	// leave.
	homeComfort = 0.4
)

type (
	// Leaving tells whether and how a request may leave its failure domain. The zero value lets it leave whenever that is
	// worth its cost, as if upstreams there were its own.
	Leaving struct {
		// HomeFirst makes requests stay while their own domain serves them in time, and leave places free elsewhere.
		HomeFirst bool
		// Cost is how much sooner an answer must begin in another domain, 0 for spillCost. It stands for the price of the traffic
		// between domains.
		Cost time.Duration
		// Stays is set if this request does not leave unless its own domain has no upstream at all.
		Stays bool
		// HomeShare is the part of the upstreams that its own domain has, beside an equal part, at most 1. Callers of a domain
		// that has lost its upstreams are no guests elsewhere.
		HomeShare float64
	}

	// Away decides which share of the requests of a service may leave the failure domain, by what other domains have
	// answered lately. It is designed for one domain that is short beside others with room, for several that are short, and
	// for many gateways that all begin to send to the same domain at the same moment. It is safe for concurrent use.
	Away struct {
		mu    sync.Mutex
		spent float64
	}
)

// May draws whether one request may leave.
func (a *Away) May(random *rand.Rand) bool {
	return random.Float64() < a.Share()
}

// Share returns the share of the requests that may leave.
func (a *Away) Share() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return 1 - a.spent
}

// RecordRefused records that another domain had no place.
func (a *Away) RecordRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spent = min(1-leastAway, a.spent+awayLoss*(1-a.spent))
}

// RecordTaken records that another domain took a request.
func (a *Away) RecordTaken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spent = max(0, a.spent-awayGain)
}

// guestPlaces returns how many places a request leaves free at a candidate, beside those for more urgent ones.
func (l Leaving) guestPlaces(candidate Candidate) int {
	if !l.HomeFirst || candidate.SameDomain || candidate.Engine == nil {
		return 0
	}
	return int(guestShare * min(1, l.HomeShare) * float64(candidate.Engine.Slots()))
}

// staysHome reports whether a request stays in its domain: if the best upstream there answers in time, or if it may not leave.
func (l Leaving) staysHome(demand Demand, candidates []Candidate) bool {
	if !l.HomeFirst {
		return false
	}
	hasHome := false
	for _, candidate := range candidates {
		if !candidate.SameDomain {
			continue
		}
		hasHome = true
		if !candidate.Full && LeavesFree(candidate, demand.KeepFree) && predictionOf(demand, candidate)+candidate.Penalty <= time.Duration(homeComfort*float64(demand.Allowed())) {
			return true
		}
	}
	return hasHome && l.Stays
}
