package loadshare

import (
	"fmt"
	"testing"
	"time"

	"figbank/schema"
)

// newReport returns a gateway's report of one upstream.
func newReport(from, domain string, wholeDomain bool, running int64) *schema.LoadReport {
	return &schema.LoadReport{
		From: from, FailureDomain: domain, WholeDomain: wholeDomain,
		Loads: []*schema.InstanceLoad{{Id: "u", BornUnixMilli: 1, Running: running}},
	}
}

func TestReports(t *testing.T) {
	start := time.Unix(100, 0)
	upstream := key{id: "u", born: 1}
	scenarios := []struct {
		name        string
		received    []*schema.LoadReport
		after       time.Duration
		others, sum int64
		reports     bool
	}{
		{name: "alone", sum: 1, reports: true},
		{name: "a gateway of the domain with a higher id", received: []*schema.LoadReport{newReport("g9", "a", false, 4)}, others: 4, sum: 5, reports: true},
		{name: "a gateway of the domain with a lower id reports the sum", received: []*schema.LoadReport{newReport("g1", "a", false, 4)}, others: 4, sum: 5},
		{name: "an expired report of a gateway with a lower id does not count", received: []*schema.LoadReport{newReport("g1", "a", false, 4)}, after: 2 * reportLifetime, sum: 1, reports: true},
		{name: "the sum of another domain is not added to this one", received: []*schema.LoadReport{newReport("g0", "b", true, 30)}, others: 30, sum: 1, reports: true},
		{
			name:     "two reports of the same domain count once",
			received: []*schema.LoadReport{newReport("g0", "b", true, 30), newReport("g7", "b", true, 31)},
			others:   31, sum: 1, reports: true,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newReports(&schema.Member{Id: "g5", FailureDomain: "a"})
			for _, message := range s.received {
				r.add(start, message)
			}
			r.expire(start.Add(s.after))
			if got := r.others()[upstream]; got != s.others {
				t.Errorf("others() = %d, want %d", got, s.others)
			}
			if got := r.domainSum(map[key]int64{upstream: 1})[upstream]; got != s.sum {
				t.Errorf("domainSum() = %d, want %d", got, s.sum)
			}
			if got := r.reportsDomain(); got != s.reports {
				t.Errorf("reportsDomain() = %v, want %v", got, s.reports)
			}
		})
	}
}

// In 4 domains of 11 gateways each, 4 gateways report to other domains, not 44.
func TestOneGatewayReportsForItsDomain(t *testing.T) {
	now := time.Unix(100, 0)
	reporting := 0
	for _, domain := range []string{"a", "b", "c", "d"} {
		for self := range 11 {
			r := newReports(&schema.Member{Id: fmt.Sprintf("%s-%02d", domain, self), FailureDomain: domain})
			for other := range 11 {
				if other != self {
					r.add(now, newReport(fmt.Sprintf("%s-%02d", domain, other), domain, false, 1))
				}
			}
			if r.reportsDomain() {
				reporting++
			}
		}
	}
	if got, want := reporting, 4; got != want {
		t.Errorf("%d gateways report to other domains, want %d", got, want)
	}
}
