package retry

import (
	"slices"
	"testing"
	"time"

	"figbank"
)

const window = 10 * time.Second

// busiestWindow returns the most times within one window. The times must be sorted.
func busiestWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// All requests of a small service begin to fail while a large service is healthy. The small service
// must not use the retries that the requests of the large service allow.
func TestBudgetsOfServicesAreSeparate(t *testing.T) {
	const gateways, seconds, small, large = 8, 30, 2, 20
	allowance := Allowance{Ratio: 0.2, Slack: 104, Window: window}
	start := time.Unix(100, 0)
	var retries []time.Duration
	for range gateways {
		calm := start.Add(-time.Minute)
		budgets := NewBudgets(allowance, calm)
		budgets.SetGateways(calm, gateways, calm)
		for second := range seconds {
			at := time.Duration(second) * time.Second
			now := start.Add(at)
			for range large {
				budgets.For("large").Deposit(now)
			}
			for range small {
				budgets.For("small").Deposit(now)
				for budgets.For("small").Withdraw(now) {
					retries = append(retries, at)
				}
			}
		}
	}
	slices.Sort(retries)
	got := busiestWindow(retries)
	requests := int64(gateways * small * int(window/time.Second))
	most := int(allowance.Ratio*float64(requests)) + int(allowance.Slack)
	if got > most {
		t.Errorf("retries of the small service: got %d, want at most %d", got, most)
	}
	if least := most / 2; got < least {
		t.Errorf("retries of the small service: got %d, want at least %d", got, least)
	}
}

// Gateways that start with a full allowance renew it with each start, so restarts while a service
// refuses everything add up to far more retries than are allowed. The same holds for gateways that
// do not know of each other yet when they start.
func TestRestartsRenewNoRetries(t *testing.T) {
	const length, step = 60 * time.Second, 100 * time.Millisecond
	scenarios := []struct {
		name     string
		gateways int
		// perSecond is the number of requests at all gateways together.
		perSecond int
		// life is the time from a start to the next one, alone how long a gateway that has started
		// knows of no other.
		life, alone time.Duration
	}{
		{name: "no restart", gateways: 7, perSecond: 56, life: length},
		{name: "killed together again and again", gateways: 7, perSecond: 56, life: 2500 * time.Millisecond},
		{name: "crash at the start", gateways: 7, perSecond: 56, life: 300 * time.Millisecond},
		{name: "alone at first", gateways: 7, perSecond: 56, life: 2500 * time.Millisecond, alone: time.Second},
		{name: "many gateways", gateways: 100, perSecond: 200, life: 2500 * time.Millisecond, alone: time.Second},
		{name: "more gateways than retries", gateways: 1000, perSecond: 1000, life: 5 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			allowance := Allowance{Ratio: 0.2, Slack: 102, Window: window}
			start := time.Unix(100, 0)
			all := make([]*Budgets, s.gateways)
			startedAt := make([]time.Time, s.gateways)
			owed := 0.0
			var retries []time.Duration
			for at := time.Duration(0); at < length; at += step {
				now := start.Add(at)
				if at%s.life == 0 {
					for i := range all {
						all[i], startedAt[i] = NewBudgets(allowance, now), now
					}
				}
				for i, budgets := range all {
					known := s.gateways
					if now.Sub(startedAt[i]) < s.alone {
						known = 1
					}
					budgets.SetGateways(now, known, startedAt[i].Add(2*s.alone))
				}
				for owed += float64(s.perSecond) * step.Seconds(); owed >= 1; owed-- {
					budget := all[(int(at/step)*7+int(owed))%s.gateways].For("s")
					budget.Deposit(now)
					for range 3 {
						if budget.Withdraw(now) {
							retries = append(retries, at)
						}
					}
				}
			}
			most := 20*s.perSecond*int(window/time.Second)/100 + int(allowance.Slack)
			if got := busiestWindow(retries); got > most {
				t.Errorf("retries in the busiest window = %d, want at most %d", got, most)
			}
		})
	}
}

// With a slack smaller than the number of gateways, no gateway may save up a whole retry. Together
// they must use their share all the same, and not exceed it.
func TestSlackIsSharedByAllGateways(t *testing.T) {
	const slack = 100
	tests := []struct {
		name     string
		gateways int
		// known is the number of gateways that each one knows of.
		known int
		// least and most bound the retries at once of all gateways together, after a long calm.
		least, most int
	}{
		{name: "one", gateways: 1, known: 1, least: 55, most: 55},
		{name: "eight", gateways: 8, known: 8, least: 48, most: 55},
		{name: "as many as the slack", gateways: 100, known: 100, least: 30, most: 80},
		{name: "more than the slack", gateways: 1000, known: 1000, least: 30, most: 80},
		{name: "none known yet", gateways: 1, known: 0, least: 55, most: 55},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(100, 0)
			got, atStart := 0, 0
			for range test.gateways {
				budgets := NewBudgets(Allowance{Slack: slack, Window: window}, start)
				budget := budgets.For(figbank.ServiceName("s"))
				if budget.Withdraw(start) {
					atStart++
				}
				budgets.SetGateways(start, test.known, start)
				later := start.Add(time.Hour)
				for range slack {
					if budget.Withdraw(later) {
						got++
					}
				}
			}
			if atStart != 0 {
				t.Errorf("retries right after the start = %d, want 0", atStart)
			}
			if got < test.least || got > test.most {
				t.Errorf("retries at once = %d, want %d to %d", got, test.least, test.most)
			}
		})
	}
}

// A service that is first asked for long after the start has the retries that the time has earned.
func TestServiceThatIsNewHasRetries(t *testing.T) {
	start := time.Unix(100, 0)
	budgets := NewBudgets(Allowance{Ratio: 0.2, Slack: 100, Window: window}, start)
	if got, want := budgets.For("s").Tokens(start.Add(window)), earnedShare*100; got < want-1 || got > want+1 {
		t.Errorf("retries left after one window = %v, want %v", got, want)
	}
}
