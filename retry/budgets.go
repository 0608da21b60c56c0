package retry

import (
	"sync"

	"figbank"
)

const (
	// usedShare of what is allowed is used: the counts of callers' requests and of
	// arrivals differ by those that are on their way.
	usedShare = 0.75
)

type (
	// Allowance is how many retries all gateways together may send a service.
	Allowance struct {
		// Percent of the service's requests.
		Percent int64
		// Slack is allowed above that, in any window.
		Slack int64
	}

	// Budgets holds a budget for each service: failures of a small service must
	// not be retried at the expense of a large one, which would multiply the small
	// one's load. It is safe for concurrent use.
	Budgets struct {
		allowance Allowance

		mu       sync.Mutex
		gateways int
		budgets  map[figbank.ServiceName]*Budget
	}
)

// NewBudgets returns budgets for one gateway of one, until Share says otherwise.
func NewBudgets(allowance Allowance) *Budgets {
	return &Budgets{allowance: allowance, gateways: 1, budgets: map[figbank.ServiceName]*Budget{}}
}

// Share divides the slack by the number of gateways.
func (b *Budgets) Share(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, gateways)
	for _, budget := range b.budgets {
		budget.setSaved(b.saved())
	}
}

// For returns a service's budget.
func (b *Budgets) For(service figbank.ServiceName) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, found := b.budgets[service]
	if !found {
		budget = newBudget(usedShare*float64(b.allowance.Percent)/100, b.saved())
		b.budgets[service] = budget
	}
	return budget
}

// saved is this gateway's part of the slack.
func (b *Budgets) saved() float64 {
	return usedShare * float64(b.allowance.Slack) / float64(b.gateways)
}
