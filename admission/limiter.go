package admission

import (
	"sync"

	"figbank"
)

// Limiter counts the work that one upstream holds against its ramp. It is the
// only place that knows all of it, and is safe for concurrent use.
type Limiter struct {
	first   figbank.Cost
	ceiling figbank.Cost

	mu    sync.Mutex
	ramp  *Ramp
	inUse figbank.Cost
}

// Held is work that a limiter has admitted.
type Held struct {
	limiter *Limiter
	ramp    *Ramp
	cost    figbank.Cost
}

// NewLimiter returns a limiter whose ramps start at first and end at ceiling.
func NewLimiter(first, ceiling figbank.Cost) *Limiter {
	return &Limiter{first: first, ceiling: ceiling, ramp: NewRamp("", first, ceiling)}
}

// Start begins a new ramp if the upstream is a new incarnation. Work held by
// the one before is gone with it; its releases no longer count.
func (l *Limiter) Start(incarnation figbank.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ramp.incarnation == incarnation {
		return false
	}
	l.ramp = NewRamp(incarnation, l.first, l.ceiling)
	l.inUse = 0
	return true
}

// Acquire admits work, or returns nil. Work larger than the limit is admitted
// alone, since it would never fit otherwise.
func (l *Limiter) Acquire(cost figbank.Cost) *Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse > 0 && l.inUse+cost > l.ramp.Limit() {
		return nil
	}
	l.inUse += cost
	return &Held{limiter: l, ramp: l.ramp, cost: cost}
}

// Release ends admitted work; succeeded tells whether the upstream bore it.
func (h *Held) Release(succeeded bool) {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ramp != h.ramp {
		return
	}
	l.inUse -= h.cost
	if succeeded {
		l.ramp.Complete(h.cost)
		return
	}
	l.ramp.Fail()
}

// Usage returns the present limit and the work held.
func (l *Limiter) Usage() (limit, inUse figbank.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ramp.Limit(), l.inUse
}

// Free is what could be admitted now.
func (l *Limiter) Free() figbank.Cost {
	limit, inUse := l.Usage()
	return max(0, limit-inUse)
}
