package placement

import (
	"cmp"
	"math"
	"sync"
	"time"

	"figbank"
)

const (
	// usualShare and largeShare are the shares of a route's prompts that are shorter than what counts as
	// usual and as large.
	usualShare = 0.6
	largeShare = 0.95
	// kindLifetime is how long after its last request a route, rank or workspace still competes.
	kindLifetime = 5 * time.Second
	// pressureHalfLife is the time in which the weight of past refusals decays to half.
	pressureHalfLife = time.Second
	// pressurePrior is a number of requests that count as placed before, so that a few refusals do not
	// count as pressure.
	pressurePrior = 5.0
	// urgentPrior is the same for more urgent requests, of which a gateway may see only a few.
	urgentPrior = 10.0
	// shareHalfLife is the time in which the weight of past requests decays to half where it is compared which share of
	// them each route and workspace has got places for.
	shareHalfLife = 4 * time.Second
	// sharePrior is a number of requests that count as placed before.
	sharePrior = 2.0
	// leastShare is the share of the requests of each route and each workspace that gets places as if it were among the
	// most urgent, in proportion to the share of all requests that get places. Even the least urgent callers must be
	// able to rely on being served at times.
	leastShare = 0.4
)

type (
	// Urgency tells how urgent a request is. Lower numbers come first, those of the workspace before those of the route.
	Urgency struct {
		Workspace, Route int64
		// Returned is set if the caller was refused before. Its objective is missed, so that others of its rank come first:
		// as many callers are served, and more of them in time.
		Returned bool
	}

	// Entrant is what a request competes by.
	Entrant struct {
		Route     string
		Workspace figbank.Workspace
		Urgency   Urgency
		// Ranked is set if requests of different urgency compete for the service. Without it, Urgency does not count.
		Ranked bool
		Prompt int
	}

	// Contest tracks the requests that compete for the engines of a service, and which of them are refused. It is safe
	// for concurrent use.
	Contest struct {
		mu         sync.Mutex
		routes     map[string]*route
		ranks      map[Urgency]*tally
		workspaces map[figbank.Workspace]*tally
		pressure   tally
		all        tally
	}

	route struct {
		tally
		sizes PromptSizes
	}

	// tally counts requests, and those of them that were refused. Both decay with time; at is the time of the last
	// decay, lastAt that of the last request.
	tally struct {
		asked, refused float64
		at, lastAt     time.Time
	}
)

// NewContest returns a contest that has seen no requests.
func NewContest() *Contest {
	return &Contest{routes: map[string]*route{}, ranks: map[Urgency]*tally{}, workspaces: map[figbank.Workspace]*tally{}}
}

// Compare returns a number below 0 if u is more urgent than other, above 0 if it is less urgent.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(u.Workspace, other.Workspace), cmp.Compare(u.Route, other.Route), compareBool(u.Returned, other.Returned))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Enter adds a request. It returns the entrant with its final urgency.
func (c *Contest) Enter(now time.Time, entrant Entrant) Entrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !entrant.Ranked {
		entrant.Urgency = Urgency{}
	}
	known, found := c.routes[entrant.Route]
	if !found {
		known = &route{}
		c.routes[entrant.Route] = known
	}
	known.sizes.Record(entrant.Prompt)
	known.ask(now, shareHalfLife)
	tallyOf(c.ranks, entrant.Urgency).ask(now, pressureHalfLife)
	tallyOf(c.workspaces, entrant.Workspace).ask(now, shareHalfLife)
	c.pressure.ask(now, pressureHalfLife)
	c.all.ask(now, shareHalfLife)
	return entrant
}

// RecordMiss adds a recorded request that found no place at once.
func (c *Contest) RecordMiss(now time.Time, entrant Entrant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tallyOf(c.ranks, entrant.Urgency).refuse(now, pressureHalfLife)
}

// RecordRefusal adds a refusal of a recorded request for want of a place.
func (c *Contest) RecordRefusal(now time.Time, entrant Entrant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, found := c.routes[entrant.Route]; found {
		known.refuse(now, shareHalfLife)
	}
	tallyOf(c.workspaces, entrant.Workspace).refuse(now, shareHalfLife)
	c.pressure.refuse(now, pressureHalfLife)
	c.all.refuse(now, shareHalfLife)
}

// Competition returns how a request competes now. It forgets routes, ranks and workspaces that have had no request for
// kindLifetime.
func (c *Contest) Competition(now time.Time, entrant Entrant) Competition {
	c.mu.Lock()
	defer c.mu.Unlock()
	competition := Competition{Pressure: c.pressure.pressure(now), Ranked: entrant.Ranked}
	for name, known := range c.routes {
		if now.Sub(known.lastAt) > kindLifetime {
			delete(c.routes, name)
			continue
		}
		current := Kind{UsualPrompt: known.sizes.Quantile(usualShare), LargePrompt: known.sizes.Quantile(largeShare)}
		competition.Kinds = append(competition.Kinds, current)
		if name == entrant.Route {
			competition.Own = current
		}
	}
	c.addUrgent(now, &competition, entrant)
	return competition
}

// addUrgent adds how many ranks are more urgent, and by how much they are pressed together. The caller holds mu.
func (c *Contest) addUrgent(now time.Time, competition *Competition, entrant Entrant) {
	refused, asked := 0.0, 0.0
	for urgency, known := range c.ranks {
		switch {
		case now.Sub(known.lastAt) > kindLifetime:
			delete(c.ranks, urgency)
		case urgency.Compare(entrant.Urgency) < 0:
			competition.Rank++
			known.decay(now, pressureHalfLife)
			refused += known.refused
			asked += known.asked
		}
	}
	if refused > 0 && !c.isOwed(now, entrant) {
		competition.UrgentPressure = refused / (asked + urgentPrior)
	}
}

// isOwed reports whether the route or the workspace of a request has had less than its least share of places. The caller
// holds mu.
func (c *Contest) isOwed(now time.Time, entrant Entrant) bool {
	least := leastShare * c.all.share(now)
	for workspace, known := range c.workspaces {
		if now.Sub(known.lastAt) > kindLifetime {
			delete(c.workspaces, workspace)
		}
	}
	known, found := c.routes[entrant.Route]
	if found && known.share(now) < least {
		return true
	}
	workspace, found := c.workspaces[entrant.Workspace]
	return found && workspace.share(now) < least
}

func tallyOf[K comparable](tallies map[K]*tally, key K) *tally {
	known, found := tallies[key]
	if !found {
		known = &tally{}
		tallies[key] = known
	}
	return known
}

func (t *tally) ask(now time.Time, halfLife time.Duration) {
	t.decay(now, halfLife)
	t.asked++
	t.lastAt = now
}

func (t *tally) refuse(now time.Time, halfLife time.Duration) {
	t.decay(now, halfLife)
	t.refused++
}

// pressure returns the share of the requests that were refused lately.
func (t *tally) pressure(now time.Time) float64 {
	t.decay(now, pressureHalfLife)
	return t.refused / (t.asked + pressurePrior)
}

// share returns the share of the requests that were not refused.
func (t *tally) share(now time.Time) float64 {
	t.decay(now, shareHalfLife)
	return 1 - t.refused/(t.asked+sharePrior)
}

// decay applies the decay since the last call.
func (t *tally) decay(now time.Time, halfLife time.Duration) {
	left := math.Exp2(-max(0, now.Sub(t.at)).Seconds() / halfLife.Seconds())
	t.refused *= left
	t.asked *= left
	t.at = now
}
