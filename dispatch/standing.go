package dispatch

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"figbank"
)

const (
	// maxRefusal bounds how long an upstream can keep requests away with one answer, so that it does not
	// take itself out for ever by a slip.
	maxRefusal = time.Minute
	// maxAbsentLoads bounds how many incarnations that are in no table keep what they said of themselves.
	maxAbsentLoads = 1024
)

type (
	// UpstreamNotice is what an upstream says in an answer about further requests of this gateway.
	UpstreamNotice struct {
		// Leaving is set if the upstream leaves: it must get no new requests.
		Leaving bool
		// RefusedFor is for how long the upstream wants no requests, 0 if it does not say so.
		RefusedFor time.Duration
		// Malformed is a time that cannot be read. It is ignored.
		Malformed string
	}

	// standing is what an incarnation of an upstream has said of further requests. It is safe for
	// concurrent use.
	standing struct {
		leaving atomic.Bool
		// refusedUntil is in Unix nanoseconds, 0 for never.
		refusedUntil atomic.Int64
	}
)

// record stores a notice. It reports whether requests that were allowed before are not any more, or for
// longer.
func (s *standing) record(now time.Time, notice UpstreamNotice) bool {
	changed := notice.Leaving && !s.leaving.Swap(true)
	if notice.RefusedFor <= 0 {
		return changed
	}
	until := now.Add(min(notice.RefusedFor, maxRefusal)).UnixNano()
	for {
		known := s.refusedUntil.Load()
		if until <= known {
			return changed
		}
		if s.refusedUntil.CompareAndSwap(known, until) {
			return changed || known <= now.UnixNano()
		}
	}
}

// refuses reports whether the upstream must get no requests now.
func (s *standing) refuses(now time.Time) bool {
	return s.leaving.Load() || now.UnixNano() < s.refusedUntil.Load()
}

// reopensIn returns how long the upstream still wants no requests. It returns false if it takes some now, or
// never will.
func (s *standing) reopensIn(now time.Time) (time.Duration, bool) {
	left := time.Unix(0, s.refusedUntil.Load()).Sub(now)
	return left, left > 0 && !s.leaving.Load()
}

// recordNotice stores what the upstream of an attempt says of further requests.
func (r *run) recordNotice(target *Target, notice UpstreamNotice) {
	if notice.Malformed != "" {
		r.log.Warn("upstream names a time that cannot be read", zap.String("upstream", string(target.ID)), zap.String("retryAfter", notice.Malformed))
	}
	if !target.Load.standing.record(r.common.Clock.Now(), notice) {
		return
	}
	r.log.Info("upstream wants no requests", zap.String("upstream", string(target.ID)), zap.Int64("born", target.BornUnixMilli),
		zap.Bool("leaving", notice.Leaving), zap.Duration("refusedFor", notice.RefusedFor))
	r.common.Scope.Counter("upstream_notices").Inc(1)
}

// maySend reports whether the target has said nothing against requests, also while this one waited.
func (r *run) maySend(target *Target) func() bool {
	return func() bool { return !target.Load.standing.refuses(r.common.Clock.Now()) }
}

// earliestReturn returns the shortest time until a target of the service that refuses requests for a time
// may be asked again, or 0 if there is none.
func earliestReturn(table *Table, service figbank.ServiceName, now time.Time) time.Duration {
	earliest := time.Duration(0)
	for _, target := range table.Targets(service) {
		if left, returns := target.Load.standing.reopensIn(now); returns && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	return earliest
}

// keepAbsent keeps what incarnations have said that are in the previous table and not in this one, since they
// may come back.
func (t *Table) keepAbsent(previous *Table, now time.Time) {
	if previous == nil {
		return
	}
	kept := 0
	for key, load := range previous.loads {
		if kept == maxAbsentLoads {
			return
		}
		if t.loads[key] == nil && load.standing.refuses(now) {
			t.loads[key] = load
			kept++
		}
	}
}
