package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"figbank"
	"figbank/schema"
)

type (
	// requestCounts counts requests by service and outcome. It is safe for
	// concurrent use.
	requestCounts struct {
		services sync.Map
	}

	counters struct {
		ran, notRun, unknown atomic.Int64
	}
)

func newRequestCounts() *requestCounts {
	return &requestCounts{}
}

func (r *requestCounts) add(service figbank.ServiceName, outcome schema.Outcome) {
	found, _ := r.services.LoadOrStore(service, &counters{})
	c, _ := found.(*counters)
	switch outcome {
	case schema.Outcome_OUTCOME_RAN:
		c.ran.Add(1)
	case schema.Outcome_OUTCOME_NOT_RUN:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// list returns the counts by service, together with the number of waiting requests.
func (r *requestCounts) list(waiting map[figbank.ServiceName]int) []*schema.ServiceTraffic {
	var list []*schema.ServiceTraffic
	r.services.Range(func(key, value any) bool {
		service, _ := key.(figbank.ServiceName)
		c, _ := value.(*counters)
		list = append(list, &schema.ServiceTraffic{
			Service: string(service), Ran: c.ran.Load(), NotRun: c.notRun.Load(),
			Unknown: c.unknown.Load(), Waiting: int64(waiting[service]),
		})
		return true
	})
	slices.SortFunc(list, func(a, b *schema.ServiceTraffic) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return list
}
