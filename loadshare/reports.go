package loadshare

import (
	"time"

	"figbank"
	"figbank/schema"
)

// reportLifetime is how long a report counts.
const reportLifetime = time.Second

type (
	// reports holds the latest reports of other gateways. They state how many requests each
	// gateway of this failure domain has at each upstream, and the same summed for every
	// other domain. reports also decides whether this gateway reports its domain's sum to
	// other domains. It is not safe for concurrent use.
	reports struct {
		// self is this gateway's id, domain its failure domain.
		self   string
		domain string
		// sameDomain holds the newest report of each gateway in this failure domain, by id.
		// domains holds the newest sum of each other failure domain, by name.
		sameDomain map[string]*report
		domains    map[string]*report
	}

	// report holds how many requests a gateway or a failure domain has at each upstream, and
	// when the report was received.
	report struct {
		at    time.Time
		loads map[key]int64
	}

	// key identifies one incarnation of an upstream; born is when it started, in Unix
	// milliseconds.
	key struct {
		id   figbank.UpstreamID
		born int64
	}
)

func newReports(self *schema.Member) *reports {
	return &reports{self: self.GetId(), domain: self.GetFailureDomain(), sameDomain: map[string]*report{}, domains: map[string]*report{}}
}

// add stores a gateway's report in place of the previous one. Reports from other failure
// domains are ignored unless they cover the whole domain.
func (r *reports) add(now time.Time, message *schema.LoadReport) {
	added := &report{at: now, loads: map[key]int64{}}
	for _, load := range message.GetLoads() {
		added.loads[key{id: figbank.UpstreamID(load.GetId()), born: load.GetBornUnixMilli()}] = load.GetRunning()
	}
	switch {
	case message.GetFailureDomain() == r.domain:
		r.sameDomain[message.GetFrom()] = added
	case message.GetWholeDomain():
		r.domains[message.GetFailureDomain()] = added
	}
}

// expire removes reports that are older than reportLifetime.
func (r *reports) expire(now time.Time) {
	for _, set := range []map[string]*report{r.sameDomain, r.domains} {
		for from, known := range set {
			if now.Sub(known.at) > reportLifetime {
				delete(set, from)
			}
		}
	}
}

// reportsDomain reports whether this gateway is the one that sends its domain's sum to the
// other domains. That is the gateway with the lowest id among those whose reports arrive.
func (r *reports) reportsDomain() bool {
	for id := range r.sameDomain {
		if id < r.self {
			return false
		}
	}
	return true
}

// others returns the sum of the loads of all other gateways.
func (r *reports) others() map[key]int64 {
	sums := map[key]int64{}
	for _, set := range []map[string]*report{r.sameDomain, r.domains} {
		addLoads(sums, set)
	}
	return sums
}

// domainSum returns the sum of the loads of this failure domain, which includes this
// gateway's own.
func (r *reports) domainSum(own map[key]int64) map[key]int64 {
	sums := map[key]int64{}
	addLoads(sums, r.sameDomain)
	addLoads(sums, map[string]*report{"": {loads: own}})
	return sums
}

// addLoads adds the loads of all reports to the sums.
func addLoads(sums map[key]int64, set map[string]*report) {
	for _, known := range set {
		for k, running := range known.loads {
			sums[k] += running
		}
	}
}
