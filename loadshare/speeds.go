package loadshare

import (
	"time"

	"figbank"
	"figbank/dispatch"
	"figbank/load"
	"figbank/schema"
)

const perMille = 1000

// addSpeeds adds to a report what upstreams have told this gateway of how long work takes there, each figure once. A gateway
// alone hears from each upstream too seldom for a figure that changes many times a second. Reports to other domains have none: it
// would be too old there.
func addSpeeds(now time.Time, message *schema.LoadReport, table *dispatch.Table) {
	if message.GetWholeDomain() {
		return
	}
	counted := map[key]*schema.InstanceLoad{}
	for _, entry := range message.GetLoads() {
		counted[key{id: figbank.UpstreamID(entry.GetId()), born: entry.GetBornUnixMilli()}] = entry
	}
	table.ForEachLoad(func(id figbank.UpstreamID, born int64, known *load.Upstream) {
		slowdown, age, found := known.Speed.TakeNews(now)
		if !found {
			return
		}
		entry := counted[key{id: id, born: born}]
		if entry == nil {
			entry = &schema.InstanceLoad{Id: string(id), BornUnixMilli: born}
			message.Loads = append(message.Loads, entry)
		}
		entry.SlowdownPerMille, entry.HeardMicrosecondsAgo = int64(slowdown*perMille), age.Microseconds()
	})
}

// applySpeeds stores what another gateway has heard. table may be nil.
func applySpeeds(now time.Time, message *schema.LoadReport, table *dispatch.Table) {
	if table == nil {
		return
	}
	for _, entry := range message.GetLoads() {
		if entry.GetSlowdownPerMille() <= 0 {
			continue
		}
		if known := table.Load(figbank.UpstreamID(entry.GetId()), entry.GetBornUnixMilli()); known != nil {
			heardAt := now.Add(-time.Duration(max(0, entry.GetHeardMicrosecondsAgo())) * time.Microsecond)
			known.Speed.Record(heardAt, float64(entry.GetSlowdownPerMille())/perMille, false)
		}
	}
}
