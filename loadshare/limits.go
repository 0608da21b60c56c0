package loadshare

import (
	"time"

	"figbank"
	"figbank/crashers"
	"figbank/dispatch"
	"figbank/load"
	"figbank/schema"

	"go.uber.org/zap"
)

// endedLimitLifetime is how long other gateways are told that an upstream's limit has ended.
const endedLimitLifetime = 10 * time.Second

// namedLimits returns what the gateways at distance to should know of the limits that upstreams
// have named. Only what was heard closer by is passed on, so that no notice returns to its origin
// and looks new there.
func namedLimits(now time.Time, table *dispatch.Table, to crashers.Distance) []*schema.NamedLimit {
	var limits []*schema.NamedLimit
	table.ForEachLoad(func(id figbank.UpstreamID, born int64, load *load.Upstream) {
		notice, found := load.Limit()
		if !found || notice.Origin >= to || !notice.Named && now.Sub(notice.At) > endedLimitLifetime {
			return
		}
		limits = append(limits, &schema.NamedLimit{
			Id: string(id), BornUnixMilli: born, Named: notice.Named, PerSecond: float64(notice.PerSecond),
			HeardMicrosecondsAgo: now.Sub(notice.At).Microseconds(),
		})
	})
	return limits
}

// applyLimits stores the limits that a gateway at distance from has reported.
func (e *Exchanger) applyLimits(now time.Time, limits []*schema.NamedLimit, from crashers.Distance) {
	table := e.dispatcher.Table()
	if table == nil {
		return
	}
	for _, limit := range limits {
		known := table.Load(figbank.UpstreamID(limit.GetId()), limit.GetBornUnixMilli())
		if known == nil || !(limit.GetPerSecond() >= 0) {
			continue
		}
		changed := known.RecordLimit(load.LimitNotice{
			Named: limit.GetNamed(), PerSecond: figbank.RequestsPerSecond(limit.GetPerSecond()), Origin: from,
			At: now.Add(-time.Duration(limit.GetHeardMicrosecondsAgo()) * time.Microsecond),
		})
		if changed {
			e.common.Log.Info("limit of an upstream changed", zap.String("upstream", limit.GetId()), zap.Bool("named", limit.GetNamed()),
				zap.Float64("perSecond", limit.GetPerSecond()))
		}
	}
}
