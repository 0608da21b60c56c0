package admission

import (
	"sync"
	"time"

	"figbank"
)

// confirmAge is how long a sign of life vouches for an idle upstream. After
// that, it may have turned cold unnoticed.
const confirmAge = 50 * time.Millisecond

type (
	// Limiter counts the work that one upstream holds against its ramp. It is the
	// only place that knows all of it, and is safe for concurrent use.
	//
	// An upstream can turn cold without warning. A broken call is a sign of that,
	// so it makes the upstream suspect; and an idle upstream breaks no call, so it
	// is probed. Both get no more than the first limit until Confirm or Start tells
	// which incarnation it is.
	Limiter struct {
		first   figbank.Cost
		ceiling figbank.Cost

		mu        sync.Mutex
		ramp      *Ramp
		suspected *Ramp
		probing   bool
		confirmed time.Time
	}

	// Held is work that a limiter has admitted.
	Held struct {
		limiter *Limiter
		ramp    *Ramp
		cost    figbank.Cost
	}
)

// NewLimiter returns a limiter whose ramps start at first and end at ceiling.
func NewLimiter(first, ceiling figbank.Cost) *Limiter {
	return &Limiter{first: first, ceiling: ceiling, ramp: NewRamp("", first, ceiling)}
}

// Confirm says that the upstream is of that incarnation now. A new one begins a
// new ramp, and Confirm returns true; work held by the one before is gone with it.
func (l *Limiter) Confirm(now time.Time, incarnation figbank.Incarnation) (cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = now
	l.probing = false
	known := l.ramp
	if l.suspected != nil {
		known = l.suspected
	}
	if known.incarnation != incarnation {
		l.suspected = nil
		l.ramp = NewRamp(incarnation, l.first, l.ceiling)
		return true
	}
	if l.suspected != nil {
		// The suspicion was wrong; what was admitted meanwhile counts as well.
		l.suspected.adopt(l.ramp)
		l.ramp, l.suspected = l.suspected, nil
	}
	return false
}

// Suspect says that the upstream broke a call, and may have restarted.
func (l *Limiter) Suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspected == nil {
		l.suspected, l.ramp = l.ramp, NewRamp("", l.first, l.ceiling)
	}
}

// Acquire admits work, or returns nil. Work larger than the limit is admitted
// alone, since it would never fit otherwise. Doubtful is true when someone
// should find out which incarnation the upstream is.
func (l *Limiter) Acquire(now time.Time, cost figbank.Cost) (held *Held, doubtful bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse() == 0 && now.Sub(l.confirmed) > confirmAge {
		l.probing = true
	}
	doubtful = l.probing || l.suspected != nil
	if !l.fits(cost) {
		return nil, doubtful
	}
	l.ramp.inUse += cost
	return &Held{limiter: l, ramp: l.ramp, cost: cost}, doubtful
}

// Release ends admitted work; succeeded tells whether the upstream bore it.
func (h *Held) Release(succeeded bool) {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	ramp := h.ramp.successor()
	ramp.inUse -= h.cost
	if succeeded {
		ramp.Complete(h.cost)
		return
	}
	ramp.Fail()
}

// Usage returns the present limit and the work held.
func (l *Limiter) Usage() (limit, inUse figbank.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(), l.inUse()
}

// Free is what could be admitted now.
func (l *Limiter) Free() figbank.Cost {
	limit, inUse := l.Usage()
	return max(0, limit-inUse)
}

func (l *Limiter) fits(cost figbank.Cost) bool {
	if l.inUse() == 0 {
		return true
	}
	if l.inUse()+cost > l.limit() {
		return false
	}
	// If the suspicion is wrong, the upstream still holds what it held before.
	return l.suspected == nil || l.suspected.inUse+l.ramp.inUse+cost <= l.suspected.limit
}

func (l *Limiter) limit() figbank.Cost {
	if l.probing {
		return min(l.first, l.ramp.limit)
	}
	return l.ramp.limit
}

func (l *Limiter) inUse() figbank.Cost {
	return l.ramp.inUse
}
