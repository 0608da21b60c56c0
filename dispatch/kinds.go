package dispatch

import (
	"math"
	"sync"
	"time"

	"figbank/placement"
)

const (
	// usualShare and largeShare are the shares of a route's prompts that are shorter than what counts as
	// usual and as large.
	usualShare = 0.6
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
		sizes  placement.PromptSizes
		lastAt time.Time
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
	known.lastAt = now
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

// competition returns how a request of the given route competes now. It forgets routes that have had no request
// for kindLifetime.
func (k *kinds) competition(now time.Time, route string) placement.Competition {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decay(now)
	competition := placement.Competition{Pressure: k.refused / (k.asked + pressurePrior)}
	for name, known := range k.routes {
		if now.Sub(known.lastAt) > kindLifetime {
			delete(k.routes, name)
			continue
		}
		current := placement.Kind{UsualPrompt: known.sizes.Quantile(usualShare), LargePrompt: known.sizes.Quantile(largeShare)}
		competition.Kinds = append(competition.Kinds, current)
		if name == route {
			competition.Own = current
		}
	}
	return competition
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
