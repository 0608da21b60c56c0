package load

import (
	"sync/atomic"
	"time"
)

const (
	// maxRefusal bounds how long an upstream can keep requests away with one answer, so that it does not
	// take itself out for ever by a slip.
	maxRefusal = time.Minute
)

type (
	// Notice is what an upstream says in an answer about further requests of this gateway.
	Notice struct {
		// Leaving is set if the upstream leaves: it must get no new requests.
		Leaving bool
		// RefusedFor is for how long the upstream wants no requests, 0 if it does not say so.
		RefusedFor time.Duration
		// Malformed is a time that cannot be read. It is ignored.
		Malformed string
	}

	// Standing is what an incarnation of an upstream has said of further requests. It is safe for
	// concurrent use.
	Standing struct {
		leaving atomic.Bool
		// refusedUntil is in Unix nanoseconds, 0 for never.
		refusedUntil atomic.Int64
	}
)

// Record stores a notice. It reports whether requests that were allowed before are not any more, or for
// longer.
func (s *Standing) Record(now time.Time, notice Notice) bool {
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

// Refuses reports whether the upstream must get no requests now.
func (s *Standing) Refuses(now time.Time) bool {
	return s.leaving.Load() || now.UnixNano() < s.refusedUntil.Load()
}

// ReopensIn returns how long the upstream still wants no requests. It returns false if it takes some now, or
// never will.
func (s *Standing) ReopensIn(now time.Time) (time.Duration, bool) {
	left := time.Unix(0, s.refusedUntil.Load()).Sub(now)
	return left, left > 0 && !s.leaving.Load()
}
