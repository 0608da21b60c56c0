package loadshare

import (
	"fmt"
	"testing"
	"time"

	"figbank/schema"
)

func told(from, domain string, whole bool, running int64) *schema.LoadReport {
	return &schema.LoadReport{
		From: from, FailureDomain: domain, WholeDomain: whole,
		Loads: []*schema.InstanceLoad{{Id: "u", BornUnixMilli: 1, Running: running}},
	}
}

func TestReports(t *testing.T) {
	start := time.Unix(100, 0)
	upstream := key{id: "u", born: 1}
	scenarios := []struct {
		name        string
		heard       []*schema.LoadReport
		after       time.Duration
		others, sum int64
		speaks      bool
	}{
		{name: "alone", sum: 1, speaks: true},
		{name: "a neighbour with a later id", heard: []*schema.LoadReport{told("g9", "a", false, 4)}, others: 4, sum: 5, speaks: true},
		{name: "a neighbour with an earlier id speaks", heard: []*schema.LoadReport{told("g1", "a", false, 4)}, others: 4, sum: 5},
		{name: "a neighbour that fell silent does not", heard: []*schema.LoadReport{told("g1", "a", false, 4)}, after: 2 * lifetime, sum: 1, speaks: true},
		{name: "another domain's sum is not this one's", heard: []*schema.LoadReport{told("g0", "b", true, 30)}, others: 30, sum: 1, speaks: true},
		{
			name:   "two that speak for a domain count once",
			heard:  []*schema.LoadReport{told("g0", "b", true, 30), told("g7", "b", true, 31)},
			others: 31, sum: 1, speaks: true,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newReports(&schema.Member{Id: "g5", FailureDomain: "a"})
			for _, message := range s.heard {
				r.hear(start, message)
			}
			r.expire(start.Add(s.after))
			if got := r.others()[upstream]; got != s.others {
				t.Errorf("others = %d, want %d", got, s.others)
			}
			if got := r.domainSum(map[key]int64{upstream: 1})[upstream]; got != s.sum {
				t.Errorf("sum = %d, want %d", got, s.sum)
			}
			if got := r.reportsDomain(); got != s.speaks {
				t.Errorf("speaks = %v, want %v", got, s.speaks)
			}
		})
	}
}

// Of 4 domains of 11 gateways in touch, 4 gateways speak across domains, not 44.
func TestOneGatewaySpeaksForItsDomain(t *testing.T) {
	now := time.Unix(100, 0)
	speakers := 0
	for _, domain := range []string{"a", "b", "c", "d"} {
		for self := range 11 {
			r := newReports(&schema.Member{Id: fmt.Sprintf("%s-%02d", domain, self), FailureDomain: domain})
			for other := range 11 {
				if other != self {
					r.hear(now, told(fmt.Sprintf("%s-%02d", domain, other), domain, false, 1))
				}
			}
			if r.reportsDomain() {
				speakers++
			}
		}
	}
	if got, want := speakers, 4; got != want {
		t.Errorf("%d gateways speak, want %d", got, want)
	}
}
