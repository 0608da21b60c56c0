package load

import (
	"sync/atomic"
	"time"

	"figbank"
	"figbank/crashers"
)

type (
	// namedLimit is the newest limit that an upstream has named in its answers. It is safe for
	// concurrent use.
	namedLimit struct {
		newest atomic.Pointer[LimitNotice]
	}

	// LimitNotice is what an upstream said of its limit, the rate of requests of all gateways
	// together, at the time At. Without Named it said that it has none.
	LimitNotice struct {
		Named     bool
		PerSecond figbank.RequestsPerSecond
		At        time.Time
		// Origin tells how far from this gateway it was heard.
		Origin crashers.Distance
	}
)

// Record stores a notice unless a newer one is known. It reports whether the limit has begun or
// ended with it.
func (n *namedLimit) record(notice LimitNotice) bool {
	for {
		known := n.newest.Load()
		if known != nil && !notice.At.After(known.At) || known == nil && !notice.Named {
			return false
		}
		if n.newest.CompareAndSwap(known, &notice) {
			return known == nil || known.Named != notice.Named
		}
	}
}
