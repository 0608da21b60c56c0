package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"figbank"
)

const (
	// usedShare is the share of the allowed ratio that gateways use. The rest is a margin, since
	// the number of callers' requests differs from the number of arrivals at upstreams by the
	// requests in flight.
	usedShare = 0.75
	// savedShare is the share of the slack that all gateways together may save up, earnedShare the
	// share that the time of one window adds. A window may see both. The rest is a margin for
	// gateways that do not know of each other.
	savedShare  = 0.55
	earnedShare = 0.25
)

type (
	// Allowance bounds the retries that all gateways together may send to a service.
	Allowance struct {
		// Ratio is the number of retries allowed per request of the service.
		Ratio float64
		// Slack is the number of retries allowed besides in any time of the length Window.
		Slack  int64
		Window time.Duration
	}

	// Budgets holds a separate budget for each service. With a common budget, a failing small
	// service could use the retries that a large service's requests allow, and the load of
	// the small service would multiply. Budgets is safe for concurrent use.
	Budgets struct {
		allowance Allowance
		draw      func() float64

		mu       sync.Mutex
		gateways int
		// earnsFrom is the time from which time adds retries.
		earnsFrom time.Time
		budgets   map[figbank.ServiceName]*Budget
	}
)

// NewBudgets returns the budgets of a gateway that starts now. They begin empty, and count no other
// gateways until SetGateways is called.
func NewBudgets(allowance Allowance, now time.Time) *Budgets {
	return &Budgets{allowance: allowance, draw: rand.Float64, gateways: 1, earnsFrom: now, budgets: map[figbank.ServiceName]*Budget{}}
}

// SetGateways sets the number of gateways by which the slack is divided. Less than 1 counts
// as 1. Until knownFrom, the number may be too small, and time adds no retries.
func (b *Budgets) SetGateways(now time.Time, gateways int, knownFrom time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways, b.earnsFrom = max(1, gateways), knownFrom
	for _, budget := range b.budgets {
		budget.setRates(now, b.maxTokens(), b.perSecond(), knownFrom)
	}
}

// For returns a service's budget. The first call for a service creates it, with what the time since
// the start has earned.
func (b *Budgets) For(service figbank.ServiceName) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, found := b.budgets[service]
	if !found {
		budget = &Budget{
			share: usedShare * b.allowance.Ratio, perSecond: b.perSecond(), maxTokens: b.maxTokens(),
			earnsFrom: b.earnsFrom, at: b.earnsFrom, draw: b.draw,
		}
		b.budgets[service] = budget
	}
	return budget
}

// maxTokens returns how many retries a budget of this gateway may save up. The caller holds mu.
func (b *Budgets) maxTokens() float64 {
	return savedShare * float64(b.allowance.Slack) / float64(b.gateways)
}

// perSecond returns how many retries each second adds to a budget of this gateway. The caller holds
// mu.
func (b *Budgets) perSecond() float64 {
	return earnedShare * float64(b.allowance.Slack) / float64(b.gateways) / b.allowance.Window.Seconds()
}
