package loadshare

import (
	"time"

	"figbank"
	"figbank/schema"
)

// lifetime is how long a report counts.
const lifetime = time.Second

type (
	// reports is what the other gateways have told: those of this failure domain
	// each their own load, one of each other domain that domain's sum. It decides
	// who tells this domain's sum, and is not safe for concurrent use.
	reports struct {
		self    string
		domain  string
		near    map[string]*report
		domains map[string]*report
	}

	report struct {
		at    time.Time
		loads map[key]int64
	}

	key struct {
		id   figbank.UpstreamID
		born int64
	}
)

func newReports(self *schema.Member) *reports {
	return &reports{self: self.GetId(), domain: self.GetFailureDomain(), near: map[string]*report{}, domains: map[string]*report{}}
}

func (r *reports) hear(now time.Time, message *schema.LoadReport) {
	heard := &report{at: now, loads: map[key]int64{}}
	for _, load := range message.GetLoads() {
		heard.loads[key{id: figbank.UpstreamID(load.GetId()), born: load.GetBornUnixMilli()}] = load.GetRunning()
	}
	switch {
	case message.GetFailureDomain() == r.domain:
		r.near[message.GetFrom()] = heard
	case message.GetWholeDomain():
		r.domains[message.GetFailureDomain()] = heard
	}
}

// expire forgets what has not been told again.
func (r *reports) expire(now time.Time) {
	for _, set := range []map[string]*report{r.near, r.domains} {
		for from, known := range set {
			if now.Sub(known.at) > lifetime {
				delete(set, from)
			}
		}
	}
}

// reportsDomain tells whether this gateway tells the other domains what its own has in
// all: the first by id of those that are in touch.
func (r *reports) reportsDomain() bool {
	for id := range r.near {
		if id < r.self {
			return false
		}
	}
	return true
}

// others sums what all other gateways have, domainSum what this domain has with
// this gateway's own.
func (r *reports) others() map[key]int64 {
	sums := map[key]int64{}
	for _, set := range []map[string]*report{r.near, r.domains} {
		addAll(sums, set)
	}
	return sums
}

func (r *reports) domainSum(own map[key]int64) map[key]int64 {
	sums := map[key]int64{}
	addAll(sums, r.near)
	addAll(sums, map[string]*report{"": {loads: own}})
	return sums
}

func addAll(sums map[key]int64, set map[string]*report) {
	for _, known := range set {
		for k, running := range known.loads {
			sums[k] += running
		}
	}
}
