package dispatch

import (
	"math"
	"sync"
	"time"

	"figbank/placement"
)

const (
	// largeShare is the share of a route's prompts that are shorter than what counts as large.
	largeShare = 0.95
	// kindLifetime is how long after its last request a route still competes.
	kindLifetime = 5 * time.Second
	// pressureHalfLife is the time in which the weight of past refusals decays to half.
	pressureHalfLife = time.Second
	// pressurePrior is a number of requests that count as placed before, so that a few refusals do not
	// count as pressure.
	pressurePrior = 5.0
)

type (
	// kinds tracks the routes that compete for the engines of a service, and whether requests are
	// refused. It is safe for concurrent use.
	kinds struct {
		mu     sync.Mutex
		routes map[string]*kind
		// refused and asked count requests. Both decay with time; at is the time of the last decay.
		refused, asked float64
		at             time.Time
	}

	kind struct {
		latencyTarget time.Duration
		sizes         placement.PromptSizes
		lastAt        time.Time
	}
)

// record adds a request.
func (k *kinds) record(now time.Time, request *Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := request.Route.GetName()
	known, found := k.routes[name]
	if !found {
		known = &kind{}
		k.routes[name] = known
	}
	known.latencyTarget, known.lastAt = request.Route.LatencyTarget, now
	known.sizes.Record(request.PromptTokens)
	k.decay(now)
	k.asked++
}

// recordRefusal adds a refusal of a recorded request for want of a place.
func (k *kinds) recordRefusal(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decay(now)
	k.refused++
}

// current returns the routes that compete now, and the share of refused requests. It forgets routes
// that have had no request for kindLifetime.
func (k *kinds) current(now time.Time) ([]placement.Kind, float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var competing []placement.Kind
	for name, known := range k.routes {
		if now.Sub(known.lastAt) > kindLifetime {
			delete(k.routes, name)
			continue
		}
		if large := known.sizes.Quantile(largeShare); large > 0 {
			competing = append(competing, placement.Kind{LatencyTarget: known.latencyTarget, LargePrompt: large})
		}
	}
	k.decay(now)
	return competing, k.refused / (k.asked + pressurePrior)
}

// decay applies the decay since the last call. The caller holds mu.
func (k *kinds) decay(now time.Time) {
	left := math.Exp2(-max(0, now.Sub(k.at)).Seconds() / pressureHalfLife.Seconds())
	k.refused *= left
	k.asked *= left
	k.at = now
}

// kindsOf returns the kinds that compete with a request. The first call for a service creates them.
func (d *Dispatcher) kindsOf(request *Request) *kinds {
	if known, found := d.kinds.Load(request.Service); found {
		return known.(*kinds) //nolint:forcetypeassert // nothing else is stored
	}
	known, _ := d.kinds.LoadOrStore(request.Service, &kinds{routes: map[string]*kind{}})
	return known.(*kinds) //nolint:forcetypeassert // nothing else is stored
}
