// Package routing picks the upstream for a request from an immutable table.
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
	// affinityLoad bounds how much of its limit an upstream may hold for prefix
	// affinity to choose it regardless of load (consistent hashing with bounded
	// loads, Mirrokni et al., 2018).
	affinityLoad = 0.75
	// promptBytesPerCost and tokensPerCost are the prompt bytes and the asked-for
	// tokens that count as one cost unit each.
	promptBytesPerCost = 4096
	tokensPerCost      = 256
	// hintLifetime is how long an upstream believed full is left alone when nobody
	// says otherwise; then one request finds out.
	hintLifetime = 500 * time.Millisecond
)

// Distances from a gateway to an upstream.
const (
	sameDomain distance = iota
	sameRegion
	elsewhere
	distances
)

type (
	distance int

	// Place is where a gateway stands.
	Place struct {
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
	}

	// Load is what a gateway believes of one incarnation's free capacity. It
	// outlives tables and is safe for concurrent use.
	Load struct {
		free atomic.Int64
		// setAt is when free was last set or taken from, in Unix nanoseconds.
		setAt atomic.Int64
	}

	// Candidate is one upstream that may be picked.
	Candidate struct {
		ID            figbank.UpstreamID
		Address       figbank.Address
		FailureDomain figbank.FailureDomain
		Manifest      string
		Limit         figbank.Cost
		Load          *Load
		distance      distance
		hash          uint64
	}

	// Table is an immutable view of all upstreams that may get requests.
	Table struct {
		configuration *schema.Configuration
		services      map[figbank.ServiceName][]Candidate
		loads         map[loadKey]*Load
	}

	loadKey struct {
		id          figbank.UpstreamID
		incarnation string
	}

	// Request is what a pick needs to know.
	Request struct {
		Service figbank.ServiceName
		Cost    figbank.Cost
		// Affinity groups requests that share a prompt prefix; 0 for none.
		Affinity uint64
		// Manifest pins the version, once part of the answer has been sent.
		Manifest string
		Pinned   bool
		// Tried upstreams are not picked again.
		Tried []figbank.UpstreamID
		// Now ages the beliefs about free capacity.
		Now time.Time
	}
)

// NewTable builds the table that follows previous, whose loads it keeps.
func NewTable(previous *Table, place Place, c *schema.Configuration, alive []*schema.Upstream) *Table {
	t := &Table{configuration: c, services: map[figbank.ServiceName][]Candidate{}, loads: map[loadKey]*Load{}}
	for _, upstream := range alive {
		service := configuration.Service(c, figbank.ServiceName(upstream.GetService()))
		if service == nil || !routable(c, service, upstream) {
			continue
		}
		name := figbank.ServiceName(upstream.GetService())
		t.services[name] = append(t.services[name], t.candidate(previous, place, upstream))
	}
	return t
}

// Configuration is the one that the table was built from.
func (t *Table) Configuration() *schema.Configuration {
	return t.configuration
}

// Candidates lists a service's upstreams.
func (t *Table) Candidates(service figbank.ServiceName) []Candidate {
	return t.services[service]
}

// Pick chooses an upstream with room for the request, or returns false. Nearest
// first; then the one that likely holds the prompt's prefix, unless it is busy;
// then the freer of two at random.
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

// Hear notes the load that an upstream announces.
func (t *Table) Hear(upstream *schema.Upstream, now time.Time) {
	key := loadKey{id: figbank.UpstreamID(upstream.GetId()), incarnation: upstream.GetIncarnation()}
	if load, found := t.loads[key]; found {
		load.Set(figbank.Cost(upstream.GetLimit()-upstream.GetInUse()), now)
	}
}

// Reachable tells whether any upstream could take the request once it has room.
func (t *Table) Reachable(request *Request) bool {
	return slices.ContainsFunc(t.services[request.Service], func(c Candidate) bool {
		return c.eligible(request)
	})
}

// CostOf estimates the work of a request.
func CostOf(body figbank.Bytes, maxTokens int64) figbank.Cost {
	return figbank.Cost(1 + int64(body)/promptBytesPerCost + max(0, maxTokens)/tokensPerCost)
}

// AffinityOf hashes a prompt's prefix within a workspace.
func AffinityOf(workspace figbank.Workspace, prefix string) uint64 {
	return xxhash.Sum64String(string(workspace)+"\x00"+prefix) | 1
}

// Take lowers the believed free capacity by a request that is being sent.
func (l *Load) Take(cost figbank.Cost, now time.Time) {
	l.free.Add(-int64(cost))
	l.setAt.Store(now.UnixNano())
}

// Return gives back what Take took, when no answer told the free capacity.
func (l *Load) Return(cost figbank.Cost) {
	l.free.Add(int64(cost))
}

// Set notes the free capacity that an answer or announcement tells.
func (l *Load) Set(free figbank.Cost, now time.Time) {
	l.free.Store(int64(free))
	l.setAt.Store(now.UnixNano())
}

// Free is the believed free capacity.
func (l *Load) Free() figbank.Cost {
	return figbank.Cost(l.free.Load())
}

func routable(c *schema.Configuration, service *schema.ServiceInForce, upstream *schema.Upstream) bool {
	domain := figbank.FailureDomain(upstream.GetFailureDomain())
	return upstream.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY &&
		!configuration.DomainOut(c, domain) &&
		configuration.Serves(service.GetCurrent().GetDeclaration().GetService(), domain) &&
		configuration.AcceptsManifest(service, upstream.GetManifest())
}

func (t *Table) candidate(previous *Table, place Place, upstream *schema.Upstream) Candidate {
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
		distance: distanceOf(place, upstream), hash: xxhash.Sum64String(upstream.GetId()),
	}
}

func distanceOf(place Place, upstream *schema.Upstream) distance {
	switch {
	case upstream.GetFailureDomain() == string(place.FailureDomain):
		return sameDomain
	case upstream.GetRegion() == string(place.Region):
		return sameRegion
	default:
		return elsewhere
	}
}

func (c Candidate) eligible(request *Request) bool {
	return (!request.Pinned || c.Manifest == request.Manifest) && !slices.Contains(request.Tried, c.ID)
}

// fits also lets a request larger than the limit go to an idle upstream, as the
// agent's limiter does.
func (c Candidate) fits(request *Request) bool {
	free := c.Load.Free()
	stale := request.Now.UnixNano()-c.Load.setAt.Load() > int64(hintLifetime)
	return c.eligible(request) && (free >= request.Cost || free >= c.Limit || stale)
}

func pickAmong(fitting []Candidate, request *Request, random *rand.Rand) Candidate {
	if request.Affinity != 0 {
		preferred := slices.MaxFunc(fitting, func(a, b Candidate) int {
			return compareRank(rank(a, request.Affinity), rank(b, request.Affinity))
		})
		if preferred.usedShare() < affinityLoad {
			return preferred
		}
	}
	first := fitting[random.IntN(len(fitting))]
	second := fitting[random.IntN(len(fitting))]
	if second.usedShare() < first.usedShare() {
		return second
	}
	return first
}

func (c Candidate) usedShare() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return 1 - float64(c.Load.Free())/float64(c.Limit)
}

// rank orders upstreams for one affinity by rendezvous hashing.
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
