package dispatch

import (
	"time"

	"figbank"
	"figbank/load"

	"go.uber.org/zap"
)

// maxAbsentLoads bounds how many incarnations that are in no table keep what they said of themselves.
const maxAbsentLoads = 1024

// recordNotice stores what the upstream of an attempt says of further requests.
func (r *run) recordNotice(target *Target, notice load.Notice) {
	if notice.Malformed != "" {
		r.log.Warn("upstream names a time that cannot be read", zap.String("upstream", string(target.ID)), zap.String("retryAfter", notice.Malformed))
	}
	if !target.Load.Standing.Record(r.common.Clock.Now(), notice) {
		return
	}
	r.log.Info("upstream wants no requests", zap.String("upstream", string(target.ID)), zap.Int64("born", target.BornUnixMilli),
		zap.Bool("leaving", notice.Leaving), zap.Duration("refusedFor", notice.RefusedFor))
	r.common.Scope.Counter("upstream_notices").Inc(1)
}

// maySend reports whether the target has said nothing against requests, also while this one waited.
func (r *run) maySend(target *Target) func() bool {
	return func() bool { return !target.Load.Standing.Refuses(r.common.Clock.Now()) }
}

// earliestReturn returns the shortest time until a target of the service that refuses requests for a time
// may be asked again, or 0 if there is none.
func earliestReturn(table *Table, service figbank.ServiceName, now time.Time) time.Duration {
	earliest := time.Duration(0)
	for _, target := range table.Targets(service) {
		if left, returns := target.Load.Standing.ReopensIn(now); returns && (earliest == 0 || left < earliest) {
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
		if t.loads[key] == nil && load.Standing.Refuses(now) {
			t.loads[key] = load
			kept++
		}
	}
}
