// Package admission limits how much work an upstream may hold at once, and
// orders the requests that wait for it.
package admission

import "figbank"

// growthFactor multiplies the limit when the completed work adds up to the limit, and divides
// it after a failure.
const growthFactor = 2

// Ramp adapts the limit of one incarnation of an upstream. The limit starts small,
// rises as completed work shows that the upstream can handle more, and falls after
// failures. Ramp is not safe for concurrent use.
type Ramp struct {
	incarnation figbank.Incarnation
	first       figbank.Cost
	ceiling     figbank.Cost
	limit       figbank.Cost
	// completed is the work completed since completed last reached the limit, or since work
	// last failed.
	completed figbank.Cost
	// inUse is the admitted work that has not been released.
	inUse figbank.Cost
	// mergedInto is the ramp that has taken over this ramp's work, nil if none has.
	mergedInto *Ramp
}

// NewRamp returns a ramp for a new incarnation, whose limit rises from first to
// at most ceiling.
func NewRamp(incarnation figbank.Incarnation, first, ceiling figbank.Cost) *Ramp {
	return &Ramp{incarnation: incarnation, first: first, ceiling: ceiling, limit: first}
}

// Limit returns how much work the upstream may hold now.
func (r *Ramp) Limit() figbank.Cost {
	return r.limit
}

// merge takes over the work that was admitted under another ramp.
func (r *Ramp) merge(other *Ramp) {
	r.inUse += other.inUse
	other.mergedInto = r
}

// successor returns the ramp that now counts the work admitted under r.
func (r *Ramp) successor() *Ramp {
	for r.mergedInto != nil {
		r = r.mergedInto
	}
	return r
}

// Complete records completed work. It raises the limit each time the completed work adds up
// to the current limit.
func (r *Ramp) Complete(cost figbank.Cost) {
	r.completed += cost
	if r.completed < r.limit {
		return
	}
	r.completed = 0
	r.limit = min(r.ceiling, r.limit*growthFactor)
}

// Fail records work that the upstream failed. It halves the limit, but not
// below the first limit.
func (r *Ramp) Fail() {
	r.completed = 0
	r.limit = max(r.first, r.limit/growthFactor)
}
