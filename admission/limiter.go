package admission

import (
	"slices"
	"sync"
	"time"

	"figbank"
)

// confirmationLifetime is how long after its confirmation the incarnation of an idle upstream
// is assumed to be still running. It is shorter than any process takes to restart.
const confirmationLifetime = 10 * time.Millisecond

// The ways in which admitted work can end.
const (
	// Abandoned work never started, or its caller disconnected. It says nothing
	// about what the upstream can handle.
	Abandoned Result = iota
	// Completed work was finished by the upstream.
	Completed
	// Failed work was started by the upstream but not completed.
	Failed
)

// maxRetired limits how many earlier incarnations are remembered.
const maxRetired = 16

type (
	// Limiter keeps the work that one upstream holds within the limit of its ramp. Only the
	// limiter counts all of that work. It is safe for concurrent use.
	//
	// An upstream can restart, and thus be cold, without warning. After a failed call the
	// upstream is suspect: it may have restarted, so new work is limited by a new ramp, which
	// begins at the first limit. A restart while the upstream is idle makes no call fail.
	// After an idle period the upstream is therefore probed: its work may not exceed the
	// first limit. An upstream is no longer suspect or probed when ConfirmIncarnation records
	// which incarnation is running.
	Limiter struct {
		first   figbank.Cost
		ceiling figbank.Cost

		mu   sync.Mutex
		ramp *Ramp
		// suspectRamp is the ramp that was in use before the upstream became suspect, nil
		// while the upstream is not suspect.
		suspectRamp *Ramp
		// probing is set while an upstream that was idle is not yet confirmed.
		probing     bool
		confirmedAt time.Time
		// epoch counts how often the upstream's incarnation became uncertain.
		epoch Epoch
		// retired lists incarnations that have been replaced. A late confirmation of one
		// must not start a ramp: the running incarnation would then count as replaced.
		retired []figbank.Incarnation
	}

	// Result says how work ended. The ramp derives from it what the upstream can handle.
	Result int

	// Epoch counts how often the incarnation became uncertain. A status that was
	// requested at a lower count does not show which incarnation runs now.
	Epoch uint64

	// Permit is work that a limiter has admitted. Release must be called exactly once.
	Permit struct {
		limiter *Limiter
		ramp    *Ramp
		cost    figbank.Cost
	}
)

// NewLimiter returns a limiter whose ramps start at first and rise to at most ceiling.
func NewLimiter(first, ceiling figbank.Cost) *Limiter {
	return &Limiter{first: first, ceiling: ceiling, ramp: NewRamp("", first, ceiling)}
}

// Epoch returns a value for ConfirmIncarnation. Call it before asking the upstream for its
// incarnation.
func (l *Limiter) Epoch() Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// ConfirmIncarnation records the incarnation that the upstream reported when asked. epoch
// must come from a call of Epoch before asking. If the incarnation is new,
// ConfirmIncarnation starts a new ramp and returns true. It ignores an incarnation that has
// been replaced. It also ignores the known incarnation if epoch is out of date.
func (l *Limiter) ConfirmIncarnation(now time.Time, epoch Epoch, incarnation figbank.Incarnation) (cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.retired, incarnation) {
		return false
	}
	known := l.ramp
	if l.suspectRamp != nil {
		known = l.suspectRamp
	}
	if known.incarnation == incarnation && epoch != l.epoch {
		return false
	}
	l.confirmedAt = now
	l.probing = false
	if known.incarnation != incarnation {
		l.retire(known.incarnation)
		next := NewRamp(incarnation, l.first, l.ceiling)
		// Some of the admitted work may already run on the new incarnation, so all
		// admitted work still counts. Work that was lost with the old incarnation fails at
		// once and is then released.
		next.merge(l.ramp)
		if l.suspectRamp != nil {
			next.merge(l.suspectRamp)
		}
		l.ramp, l.suspectRamp = next, nil
		return true
	}
	if l.suspectRamp != nil {
		// The upstream has not restarted. Work admitted in the meantime counts too.
		l.suspectRamp.merge(l.ramp)
		l.ramp, l.suspectRamp = l.suspectRamp, nil
	}
	return false
}

// Retired reports whether an incarnation has been replaced by another.
func (l *Limiter) Retired(incarnation figbank.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.retired, incarnation)
}

// Suspect records that the upstream failed a call and may have restarted.
func (l *Limiter) Suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	if l.suspectRamp == nil {
		l.suspectRamp, l.ramp = l.ramp, NewRamp("", l.first, l.ceiling)
	}
}

// Acquire admits work, or returns a nil permit. While there is no other work, work larger
// than the limit is admitted too, since it would never fit otherwise. If unconfirmed is true,
// the caller must ask the upstream for its incarnation.
func (l *Limiter) Acquire(now time.Time, cost figbank.Cost) (permit *Permit, unconfirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.probing && l.inUse() == 0 && now.Sub(l.confirmedAt) > confirmationLifetime {
		l.probing = true
		l.epoch++
	}
	unconfirmed = l.probing || l.suspectRamp != nil
	if !l.fits(cost) {
		return nil, unconfirmed
	}
	l.ramp.inUse += cost
	return &Permit{limiter: l, ramp: l.ramp, cost: cost}, unconfirmed
}

// Revalidate reports, right before the work starts, whether it is still admitted. If the
// upstream has restarted or become suspect since Acquire, or is no longer suspect, the work
// must fit within the present limit. If Revalidate returns false, the work must not start but
// still has to be released.
func (p *Permit) Revalidate() bool {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ramp == l.ramp {
		return true
	}
	p.ramp.successor().inUse -= p.cost
	if !l.fits(p.cost) {
		p.ramp.successor().inUse += p.cost
		return false
	}
	l.ramp.inUse += p.cost
	p.ramp = l.ramp
	return true
}

// Release ends admitted work and frees its share of the limit.
func (p *Permit) Release(end Result) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	ramp := p.ramp.successor()
	ramp.inUse -= p.cost
	if ramp != p.ramp {
		// The end of work admitted under an earlier ramp does not change this ramp's limit.
		return
	}
	switch end {
	case Completed:
		ramp.Complete(p.cost)
	case Failed:
		ramp.Fail()
	case Abandoned:
	}
}

// Usage returns the current limit and the admitted work. While the upstream is suspect, inUse
// leaves out the work that was admitted before the upstream became suspect.
func (l *Limiter) Usage() (limit, inUse figbank.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(), l.inUse()
}

// Free returns the part of the limit that is not in use.
func (l *Limiter) Free() figbank.Cost {
	limit, inUse := l.Usage()
	return max(0, limit-inUse)
}

func (l *Limiter) retire(incarnation figbank.Incarnation) {
	l.retired = append(l.retired, incarnation)
	if len(l.retired) > maxRetired {
		l.retired = l.retired[1:]
	}
}

// fits reports whether work of this cost may be admitted. The caller holds mu.
func (l *Limiter) fits(cost figbank.Cost) bool {
	earlier, earlierLimit := figbank.Cost(0), l.ceiling
	if l.suspectRamp != nil {
		// A suspect upstream that has not restarted still holds the earlier work as well.
		earlier, earlierLimit = l.suspectRamp.inUse, l.suspectRamp.limit
	}
	if l.inUse()+earlier == 0 {
		return true
	}
	return l.inUse()+cost <= l.limit() && l.inUse()+earlier+cost <= earlierLimit
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
