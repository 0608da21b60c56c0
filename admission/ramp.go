// Package admission limits work: how much an upstream may hold at once, and
// who waits for it in which order.
package admission

import "figbank"

// growthPerRound is the factor applied after one full round of successes.
const growthPerRound = 2

// Ramp tracks one incarnation of one upstream: its limit starts small and rises
// as completed work shows that the upstream can bear more. It is not safe for
// concurrent use.
type Ramp struct {
	incarnation figbank.Incarnation
	first       figbank.Cost
	ceiling     figbank.Cost
	limit       figbank.Cost
	completed   figbank.Cost
	inUse       figbank.Cost
	// adopted is set when another ramp has taken over this one's work.
	adopted *Ramp
}

// NewRamp starts a ramp for a fresh incarnation that may at most hold ceiling.
func NewRamp(incarnation figbank.Incarnation, first, ceiling figbank.Cost) *Ramp {
	return &Ramp{incarnation: incarnation, first: first, ceiling: ceiling, limit: first}
}

// Limit is what the upstream may hold now.
func (r *Ramp) Limit() figbank.Cost {
	return r.limit
}

// adopt takes over the work that was admitted under another ramp.
func (r *Ramp) adopt(other *Ramp) {
	r.inUse += other.inUse
	other.adopted = r
}

// successor is the ramp that work admitted under this one counts against.
func (r *Ramp) successor() *Ramp {
	for r.adopted != nil {
		r = r.adopted
	}
	return r
}

// Complete records finished work and raises the limit when a whole round has
// succeeded at the present one.
func (r *Ramp) Complete(cost figbank.Cost) {
	r.completed += cost
	if r.completed < r.limit {
		return
	}
	r.completed = 0
	r.limit = min(r.ceiling, r.limit*growthPerRound)
}

// Fail records work that the upstream failed: the limit is halved.
func (r *Ramp) Fail() {
	r.completed = 0
	r.limit = max(r.first, r.limit/growthPerRound)
}
