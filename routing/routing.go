// Package routing chooses the upstream for a request from an immutable table.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/schema"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAffinityLoad is the utilization below which an upstream is chosen by prefix
	// affinity, even if others are less loaded (consistent hashing with bounded loads,
	// Mirrokni et al., 2018).
	maxAffinityLoad = 0.75
	// bodyBytesPerCost and tokensPerCost are the numbers of body bytes and of requested
	// tokens that each add one unit to the cost of a request.
	bodyBytesPerCost = 4096
	tokensPerCost    = 256
	// loadLifetime is how long an estimate of an upstream's free capacity counts. After that
	// an upstream that seemed full gets one request, to find out whether it still is.
	loadLifetime = 500 * time.Millisecond
)

// Distances from a gateway to an upstream.
const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distances
)

type (
	// distance is how far an upstream is from the gateway; nearer ones are lower.
	distance int

	// Location is the location of a gateway.
	Location struct {
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
	}

	// Load is a gateway's estimate of the free capacity of one incarnation of an upstream.
	// Successive tables share it. It is safe for concurrent use.
	Load struct {
		free atomic.Int64
		// setAt is when Set or Reserve last changed free, in Unix nanoseconds.
		setAt atomic.Int64
	}

	// Candidate is one upstream that may be chosen.
	Candidate struct {
		ID            figbank.UpstreamID
		Address       figbank.Address
		FailureDomain figbank.FailureDomain
		// Manifest is the digest of the loaded weights, empty for services without weights.
		Manifest string
		// Limit is how much work the upstream may hold at once.
		Limit    figbank.Cost
		Load     *Load
		distance distance
		// hash is the hash of ID, from which rank is computed.
		hash uint64
	}

	// Table is a view of all upstreams that may get requests. It is immutable, but the loads
	// of its candidates change.
	Table struct {
		configuration *schema.Configuration
		services      map[figbank.ServiceName][]Candidate
		loads         map[loadKey]*Load
	}

	// loadKey identifies one incarnation of an upstream.
	loadKey struct {
		id          figbank.UpstreamID
		incarnation string
	}

	// Request describes the request for which to choose an upstream.
	Request struct {
		Service figbank.ServiceName
		Cost    figbank.Cost
		// Affinity groups requests that share a prompt prefix; 0 for none.
		Affinity uint64
		// Manifest is the digest of the weights that must serve the request if Pinned is set.
		Manifest string
		Pinned   bool
		// Tried lists the upstreams that must not be chosen again.
		Tried []figbank.UpstreamID
		// Now is the time by which the age of load estimates is judged.
		Now time.Time
	}
)

// NewTable builds a table. Incarnations that are also in previous keep their load. previous
// is nil for the first table.
func NewTable(previous *Table, location Location, c *schema.Configuration, alive []*schema.Upstream) *Table {
	t := &Table{configuration: c, services: map[figbank.ServiceName][]Candidate{}, loads: map[loadKey]*Load{}}
	for _, upstream := range alive {
		service := configuration.Service(c, figbank.ServiceName(upstream.GetService()))
		if service == nil || !routable(c, service, upstream) {
			continue
		}
		name := figbank.ServiceName(upstream.GetService())
		t.services[name] = append(t.services[name], t.candidate(previous, location, upstream))
	}
	return t
}

// Configuration returns the configuration from which the table was built.
func (t *Table) Configuration() *schema.Configuration {
	return t.configuration
}

// Candidates returns a service's upstreams.
func (t *Table) Candidates(service figbank.ServiceName) []Candidate {
	return t.services[service]
}

// Pick chooses among the nearest upstreams that likely have free capacity for the request. It
// returns false if there is none. It prefers the upstream that likely has the prompt's prefix
// cached. If that upstream is busy, or the request has no affinity, Pick takes the less
// loaded of two chosen at random.
func (t *Table) Pick(request *Request, random *rand.Rand) (Candidate, bool) {
	candidates := t.services[request.Service]
	for d := range distances {
		var fitting []Candidate
		for _, c := range candidates {
			if c.distance == d && c.fits(request) {
				fitting = append(fitting, c)
			}
		}
		if len(fitting) > 0 {
			return pickAmong(fitting, request, random), true
		}
	}
	return Candidate{}, false
}

// UpdateLoad records the load that an upstream announces. Upstreams that are not in the
// table are ignored.
func (t *Table) UpdateLoad(upstream *schema.Upstream, now time.Time) {
	key := loadKey{id: figbank.UpstreamID(upstream.GetId()), incarnation: upstream.GetIncarnation()}
	if load, found := t.loads[key]; found {
		load.Set(figbank.Cost(upstream.GetLimit()-upstream.GetInUse()), now)
	}
}

// HasEligible reports whether any upstream could take the request once it has free capacity.
func (t *Table) HasEligible(request *Request) bool {
	return slices.ContainsFunc(t.services[request.Service], func(c Candidate) bool {
		return c.eligible(request)
	})
}

// CostOf estimates the cost of a request from its size and the tokens that it asks for.
func CostOf(body figbank.Bytes, maxTokens int64) figbank.Cost {
	return figbank.Cost(1 + int64(body)/bodyBytesPerCost + max(0, maxTokens)/tokensPerCost)
}

// AffinityOf returns the affinity of requests with this prompt prefix in a workspace. It is
// never 0.
func AffinityOf(workspace figbank.Workspace, prefix string) uint64 {
	return xxhash.Sum64String(string(workspace)+"\x00"+prefix) | 1
}

// Reserve lowers the estimated free capacity by the cost of a request that is being sent.
func (l *Load) Reserve(cost figbank.Cost, now time.Time) {
	l.free.Add(-int64(cost))
	l.setAt.Store(now.UnixNano())
}

// Release undoes Reserve. It is called when no answer reported the free capacity.
func (l *Load) Release(cost figbank.Cost) {
	l.free.Add(int64(cost))
}

// Set stores the free capacity that an answer or announcement reports.
func (l *Load) Set(free figbank.Cost, now time.Time) {
	l.free.Store(int64(free))
	l.setAt.Store(now.UnixNano())
}

// Free returns the estimated free capacity. It may be negative.
func (l *Load) Free() figbank.Cost {
	return figbank.Cost(l.free.Load())
}

// routable reports whether an upstream may get requests. The upstream must be ready, and its
// weights must be an accepted version. Its failure domain must be in service, and declared
// for the upstream's service.
func routable(c *schema.Configuration, service *schema.ServiceInForce, upstream *schema.Upstream) bool {
	domain := figbank.FailureDomain(upstream.GetFailureDomain())
	return upstream.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY &&
		!configuration.IsDomainOut(c, domain) &&
		configuration.RunsIn(service.GetCurrent().GetDeclaration().GetService(), domain) &&
		configuration.AcceptsManifest(service, upstream.GetManifest())
}

// candidate builds the candidate of one upstream and registers its load with the table.
func (t *Table) candidate(previous *Table, location Location, upstream *schema.Upstream) Candidate {
	key := loadKey{id: figbank.UpstreamID(upstream.GetId()), incarnation: upstream.GetIncarnation()}
	var load *Load
	if previous != nil {
		load = previous.loads[key]
	}
	if load == nil {
		load = &Load{}
		load.free.Store(upstream.GetLimit() - upstream.GetInUse())
	}
	t.loads[key] = load
	return Candidate{
		ID: key.id, Address: figbank.Address(upstream.GetAddress()),
		FailureDomain: figbank.FailureDomain(upstream.GetFailureDomain()), Manifest: upstream.GetManifest(),
		Limit: figbank.Cost(upstream.GetLimit()), Load: load,
		distance: distanceOf(location, upstream), hash: xxhash.Sum64String(upstream.GetId()),
	}
}

func distanceOf(location Location, upstream *schema.Upstream) distance {
	switch {
	case upstream.GetFailureDomain() == string(location.FailureDomain):
		return sameDomain
	case upstream.GetRegion() == string(location.Region):
		return sameRegion
	default:
		return otherRegion
	}
}

// eligible reports whether the candidate may serve the request, regardless of its load.
func (c Candidate) eligible(request *Request) bool {
	return (!request.Pinned || c.Manifest == request.Manifest) && !slices.Contains(request.Tried, c.ID)
}

// fits reports whether the candidate is eligible and has free capacity for the request, or its
// load estimate is out of date. An idle upstream also takes a request whose cost exceeds
// its limit, as the agent's limiter allows.
func (c Candidate) fits(request *Request) bool {
	free := c.Load.Free()
	stale := request.Now.UnixNano()-c.Load.setAt.Load() > int64(loadLifetime)
	return c.eligible(request) && (free >= request.Cost || free >= c.Limit || stale)
}

// pickAmong chooses one of the candidates that fit the request.
func pickAmong(fitting []Candidate, request *Request, random *rand.Rand) Candidate {
	if request.Affinity != 0 {
		preferred := slices.MaxFunc(fitting, func(a, b Candidate) int {
			return compareRank(rank(a, request.Affinity), rank(b, request.Affinity))
		})
		if preferred.utilization() < maxAffinityLoad {
			return preferred
		}
	}
	first := fitting[random.IntN(len(fitting))]
	second := fitting[random.IntN(len(fitting))]
	if second.utilization() < first.utilization() {
		return second
	}
	return first
}

// utilization returns the used share of the candidate's limit, 1 when it has no limit set.
func (c Candidate) utilization() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return 1 - float64(c.Load.Free())/float64(c.Limit)
}

// rank returns the rendezvous hash of an upstream and an affinity. The upstream with the
// highest rank is preferred.
func rank(c Candidate, affinity uint64) uint64 {
	mixed := (c.hash ^ affinity) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}

func compareRank(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
