package retry

import (
	"testing"

	"figbank"
)

// All requests of a small service fail while a large service is healthy. The small service
// must not use the retries that the requests of the large service allow.
func TestBudgetsOfServicesAreSeparate(t *testing.T) {
	const gateways, seconds, small, large = 8, 10, 2, 20
	allowance := Allowance{Percent: 20, Slack: 104}
	retries := 0
	for range gateways {
		budgets := NewBudgets(allowance)
		budgets.SetGateways(gateways)
		for range seconds {
			for range large {
				budgets.For("large").Deposit()
			}
			for range small {
				budgets.For("small").Deposit()
				for budgets.For("small").Withdraw() {
					retries++
				}
			}
		}
	}
	requests := int64(gateways * seconds * small)
	most := int(allowance.Percent*requests/100 + allowance.Slack)
	if retries > most {
		t.Errorf("retries of the small service: got %d, want at most %d", retries, most)
	}
	if least := most / 2; retries < least {
		t.Errorf("retries of the small service: got %d, want at least %d", retries, least)
	}
}

func TestSlackIsDividedAmongGateways(t *testing.T) {
	tests := []struct {
		name     string
		gateways int
		want     int
	}{
		{"one", 1, 75},
		{"eight", 8, 9},
		{"more than the slack", 100, 0},
		{"none known yet", 0, 75},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budgets := NewBudgets(Allowance{Percent: 0, Slack: 100})
			before := budgets.For(figbank.ServiceName("s"))
			budgets.SetGateways(test.gateways)
			got := 0
			for before.Withdraw() {
				got++
			}
			if got != test.want {
				t.Errorf("retries at once: got %d, want %d", got, test.want)
			}
		})
	}
}
