package retry

import (
	"sync"

	"figbank"
)

const (
	// usedShare is the share of the allowance that gateways use. The rest is a margin, since
	// the number of callers' requests differs from the number of arrivals at upstreams by the
	// requests in flight.
	usedShare = 0.75
)

type (
	// Allowance bounds the retries that all gateways together may send to a service.
	Allowance struct {
		// Percent is the number of retries allowed per hundred requests of the service.
		Percent int64
		// Slack is the number of retries allowed above Percent in any window of time.
		Slack int64
	}

	// Budgets holds a separate budget for each service. With a common budget, a failing small
	// service could use the retries that a large service's requests allow, and the load of
	// the small service would multiply. Budgets is safe for concurrent use.
	Budgets struct {
		allowance Allowance

		mu       sync.Mutex
		gateways int
		budgets  map[figbank.ServiceName]*Budget
	}
)

// NewBudgets returns the budgets of a gateway. They count no other gateways until SetGateways
// is called.
func NewBudgets(allowance Allowance) *Budgets {
	return &Budgets{allowance: allowance, gateways: 1, budgets: map[figbank.ServiceName]*Budget{}}
}

// SetGateways sets the number of gateways by which the slack is divided. Less than 1 counts
// as 1.
func (b *Budgets) SetGateways(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, gateways)
	for _, budget := range b.budgets {
		budget.setMaxTokens(b.maxTokens())
	}
}

// For returns a service's budget. The first call for a service creates it.
func (b *Budgets) For(service figbank.ServiceName) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, found := b.budgets[service]
	if !found {
		budget = newBudget(usedShare*float64(b.allowance.Percent)/100, b.maxTokens())
		b.budgets[service] = budget
	}
	return budget
}

// maxTokens returns how many retries a budget of this gateway may save up: its share of
// the slack. The caller holds mu.
func (b *Budgets) maxTokens() float64 {
	return usedShare * float64(b.allowance.Slack) / float64(b.gateways)
}
