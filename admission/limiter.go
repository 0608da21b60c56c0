package admission

import (
	"slices"
	"sync"
	"time"

	"figbank"
)

// confirmAge is how long a sign of life vouches for an idle upstream. It is less
// than any process needs to start anew.
const confirmAge = 10 * time.Millisecond

// Ends of work.
const (
	// Abandoned work never began, or its caller went away: it shows nothing.
	Abandoned End = iota
	// Completed work was borne to its end.
	Completed
	// Failed work was broken by the upstream.
	Failed
)

// retiredKept is how many earlier incarnations are remembered.
const retiredKept = 16

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
		// doubts counts the times that the upstream became doubtful.
		doubts Doubts
		// retired incarnations have been replaced. Late news of one must not begin
		// another ramp: the work that runs would no longer be counted.
		retired []figbank.Incarnation
	}

	// End says how work ended, as evidence of what the upstream bears.
	End int

	// Doubts marks a moment: what was asked of an upstream before it became
	// doubtful again cannot settle the new doubt.
	Doubts uint64

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

// Mark returns the present moment, for Confirm.
func (l *Limiter) Mark() Doubts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubts
}

// Confirm says that the upstream, asked at mark, is of that incarnation. A new one begins a
// new ramp, and Confirm returns true.
func (l *Limiter) Confirm(now time.Time, mark Doubts, incarnation figbank.Incarnation) (cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.retired, incarnation) {
		return false
	}
	known := l.ramp
	if l.suspected != nil {
		known = l.suspected
	}
	if known.incarnation == incarnation && mark != l.doubts {
		return false
	}
	l.confirmed = now
	l.probing = false
	if known.incarnation != incarnation {
		l.retire(known.incarnation)
		next := NewRamp(incarnation, l.first, l.ceiling)
		// Some of the work in hand may have begun on the new incarnation. What was
		// lost with the old one is broken, and given back, at once.
		next.adopt(l.ramp)
		if l.suspected != nil {
			next.adopt(l.suspected)
		}
		l.ramp, l.suspected = next, nil
		return true
	}
	if l.suspected != nil {
		// The suspicion was wrong; what was admitted meanwhile counts as well.
		l.suspected.adopt(l.ramp)
		l.ramp, l.suspected = l.suspected, nil
	}
	return false
}

// Retired tells whether an incarnation has been replaced by another.
func (l *Limiter) Retired(incarnation figbank.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.retired, incarnation)
}

// Suspect says that the upstream broke a call, and may have restarted.
func (l *Limiter) Suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubts++
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
	if !l.probing && l.inUse() == 0 && now.Sub(l.confirmed) > confirmAge {
		l.probing = true
		l.doubts++
	}
	doubtful = l.probing || l.suspected != nil
	if !l.fits(cost) {
		return nil, doubtful
	}
	l.ramp.inUse += cost
	return &Held{limiter: l, ramp: l.ramp, cost: cost}, doubtful
}

// Renew tells, right before the work begins, whether it is still admitted. Since
// Acquire the upstream may have restarted or become suspect; the work then has
// to fit anew.
func (h *Held) Renew() bool {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.ramp == l.ramp {
		return true
	}
	h.ramp.successor().inUse -= h.cost
	if !l.fits(h.cost) {
		h.ramp.successor().inUse += h.cost
		return false
	}
	l.ramp.inUse += h.cost
	h.ramp = l.ramp
	return true
}

// Release ends admitted work.
func (h *Held) Release(end End) {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	ramp := h.ramp.successor()
	ramp.inUse -= h.cost
	if ramp != h.ramp {
		// Work of another ramp says nothing about this one.
		return
	}
	switch end {
	case Completed:
		ramp.Complete(h.cost)
	case Failed:
		ramp.Fail()
	case Abandoned:
	}
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

func (l *Limiter) retire(incarnation figbank.Incarnation) {
	l.retired = append(l.retired, incarnation)
	if len(l.retired) > retiredKept {
		l.retired = l.retired[1:]
	}
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
