package dispatch

import (
	"slices"
	"time"

	"figbank"
	"figbank/latency"
	"figbank/load"
	"figbank/registry"
	"figbank/rollout"
	"figbank/schema"
	"figbank/traffic"
)

const (
	// silentGrace is how long an upstream that no longer announces itself still gets
	// requests after its last complete answer.
	silentGrace = 3 * time.Second
	// versionMargin is how long before the end of Location.VersionTime a gateway stops sending
	// requests to older weights. Over a link with reduced bandwidth, a request may arrive a
	// second late, even after its attempt was canceled.
	versionMargin = 1300 * time.Millisecond
)

type (
	// Location is the location of a gateway, with the settings that tables depend on.
	Location struct {
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
		// Regions maps each failure domain to its region.
		Regions map[figbank.FailureDomain]figbank.Region
		// VersionTime is the time for which requests may still begin on older weights after a
		// new version is named.
		VersionTime time.Duration
	}

	// Table holds the routes, and the upstreams that may get requests. It is immutable, but
	// the loads of its targets change.
	Table struct {
		Traffic *traffic.Table
		// Index is the commit index of the fleet state from which the table was built.
		Index    figbank.CommitIndex
		services map[figbank.ServiceName][]*Target
		loads    map[loadKey]*load.Upstream
		gateways int
	}

	// Target is one incarnation of an upstream that may get requests.
	Target struct {
		ID figbank.UpstreamID
		// BornUnixMilli is the time at which the incarnation started, in Unix milliseconds.
		BornUnixMilli int64
		Address       figbank.Address
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
		// SameDomain is set when the upstream is in the gateway's own failure domain.
		SameDomain bool
		Slots      int
		// Engine predicts the upstream's latencies, nil for services without an engine.
		Engine *latency.Predictor
		// Model and Version are those of the loaded weights.
		Model   string
		Version int64
		// Silent is set when the upstream no longer announces itself.
		Silent bool
		// OldAfter is when the upstream's weights become too old for new requests, by the
		// monotonic clock. OldAfterWall is the same time by the wall clock. Both are zero while
		// there is no newer version.
		OldAfter, OldAfterWall time.Time
		// ColdUntil is the time until which the upstream is cold and can handle only ColdRate
		// requests per second of all gateways together. It is zero for a warm upstream.
		ColdUntil time.Time
		ColdRate  figbank.RequestsPerSecond
		// Gateways is the number of gateways that share the upstream. Until SettledAt it is not
		// reliable, and this gateway sends nothing on its own share of a limited rate.
		Gateways  int
		SettledAt time.Time
		// Connections is this gateway's share of the connections that the upstream accepts,
		// 0 for no limit.
		Connections int64
		Delay       time.Duration
		Load        *load.Upstream
	}

	// Version is a version of a model's weights.
	Version struct {
		Model  string
		Number int64
	}

	// loadKey identifies one incarnation of an upstream.
	loadKey struct {
		id   figbank.UpstreamID
		born int64
	}

	// Sources hold everything that a table is built from.
	Sources struct {
		Fleet     *schema.Fleet
		Traffic   *traffic.Table
		Upstreams []registry.Upstream
		// Named is the time at which each version was named, by this process's monotonic clock.
		Named map[Version]time.Time
		// Gateways is the number of gateways that share the upstreams.
		Gateways int
		// SettledAt is the time from which Gateways is reliable.
		SettledAt time.Time
		Now       time.Time
	}
)

// NewTable builds a table. Incarnations that are also in previous keep their load, those too that
// get no requests for now. previous is nil for the first table.
func NewTable(previous *Table, location Location, sources Sources) *Table {
	t := &Table{
		Traffic: sources.Traffic, Index: figbank.CommitIndex(sources.Fleet.GetCommitIndex()),
		services: map[figbank.ServiceName][]*Target{}, loads: map[loadKey]*load.Upstream{},
		gateways: max(1, sources.Gateways),
	}
	engines := map[figbank.ServiceName]*latency.Predictor{}
	for _, upstream := range sources.Upstreams {
		name := figbank.ServiceName(upstream.Record.GetService())
		service := t.Traffic.Service(name)
		if service == nil {
			continue
		}
		kept := t.keepLoad(previous, keyOf(upstream))
		if upstream.Leaving {
			kept.Standing.Record(sources.Now, load.Notice{Leaving: true})
		}
		if !usable(sources.Fleet, service, upstream) {
			continue
		}
		if service.GetEngine() != nil && engines[name] == nil {
			engines[name] = latency.NewPredictor(service.GetEngine())
		}
		target := t.target(location, sources, service, upstream)
		target.Load = kept
		target.Engine = engines[name]
		t.services[name] = append(t.services[name], target)
	}
	t.keepAbsent(previous, sources.Now)
	return t
}

// Targets returns a service's upstreams.
func (t *Table) Targets(service figbank.ServiceName) []*Target {
	return t.services[service]
}

// Load returns the load of one incarnation, or nil when the table does not hold it.
func (t *Table) Load(id figbank.UpstreamID, born int64) *load.Upstream {
	return t.loads[loadKey{id: id, born: born}]
}

// ForEachLoad calls act with the load of each incarnation.
func (t *Table) ForEachLoad(act func(id figbank.UpstreamID, born int64, load *load.Upstream)) {
	for key, load := range t.loads {
		act(key.id, key.born, load)
	}
}

// usable reports whether an upstream may get new requests at all. The upstream must be ready
// or silent, and its failure domain must not be evacuated. An engine must also have a
// complete version of the weights loaded, and must not be switching to another.
func usable(fleet *schema.Fleet, service *schema.RoutedService, upstream registry.Upstream) bool {
	record := upstream.Record
	switch {
	case record.GetState() != schema.InstanceState_INSTANCE_STATE_READY && record.GetState() != schema.InstanceState_INSTANCE_STATE_SILENT:
		return false
	case slices.Contains(fleet.GetEvacuated(), record.GetFailureDomain()):
		return false
	case service.GetEngine() == nil:
		return true
	}
	return !upstream.Switching && upstream.Loaded.GetVersion() > 0 &&
		upstream.Loaded.GetLayers() >= service.GetEngine().GetLayers()
}

func keyOf(upstream registry.Upstream) loadKey {
	return loadKey{id: figbank.UpstreamID(upstream.Record.GetId()), born: upstream.Record.GetBornUnixMilli()}
}

// keepLoad registers the load of an incarnation with the table, the one from previous if it is
// there.
func (t *Table) keepLoad(previous *Table, key loadKey) *load.Upstream {
	load := &load.Upstream{}
	if previous != nil && previous.loads[key] != nil {
		load = previous.loads[key]
	}
	t.loads[key] = load
	return load
}

// target builds the target of one upstream, without its load and engine.
func (t *Table) target(location Location, sources Sources, service *schema.RoutedService, upstream registry.Upstream) *Target {
	record := upstream.Record
	key := keyOf(upstream)
	domain := figbank.FailureDomain(record.GetFailureDomain())
	target := &Target{
		ID: key.id, BornUnixMilli: key.born, Address: figbank.Address(record.GetAddress()),
		Region: location.Regions[domain], FailureDomain: domain, SameDomain: domain == location.FailureDomain, Slots: int(record.GetSlots()),
		Model: upstream.Loaded.GetModel(), Version: upstream.Loaded.GetVersion(),
		Silent:      record.GetState() == schema.InstanceState_INSTANCE_STATE_SILENT,
		Connections: t.connectionShare(service.GetMaxConnections()),
		Gateways:    t.gateways, SettledAt: sources.SettledAt,
	}
	if cold := record.GetColdMilliseconds(); cold > 0 && service.GetColdRequestsPerSecond() > 0 {
		target.ColdUntil = sources.Now.Add(time.Duration(cold) * time.Millisecond)
		target.ColdRate = figbank.RequestsPerSecond(service.GetColdRequestsPerSecond())
	}
	target.OldAfter, target.OldAfterWall = oldAfter(location, sources, target)
	return target
}

// Find returns an incarnation of an upstream that runs a service, or nil.
func (t *Table) Find(service figbank.ServiceName, id figbank.UpstreamID, bornUnixMilli int64) *Target {
	for _, target := range t.services[service] {
		if target.ID == id && target.BornUnixMilli == bornUnixMilli {
			return target
		}
	}
	return nil
}

// Knows reports whether the table was built from a record of an incarnation of an upstream, or of a newer one,
// which need not be a target. A nil table knows none.
func (t *Table) Knows(id figbank.UpstreamID, bornUnixMilli int64) bool {
	if t == nil {
		return false
	}
	for key := range t.loads {
		if key.id == id && key.born >= bornUnixMilli {
			return true
		}
	}
	return false
}

// connectionShare returns this gateway's share of the connections that an upstream
// accepts. It is at least 1 when there is a limit, since 0 stands for no limit.
func (t *Table) connectionShare(connections int64) int64 {
	if connections <= 0 {
		return 0
	}
	return max(1, connections/int64(t.gateways))
}

// oldAfter returns the time from which the target's weights are too old. That is
// VersionTime less versionMargin after an operator named the first newer version. The time
// is returned by two clocks: this process's monotonic clock, which stands still while the
// host is suspended, and the wall clock, which may jump. Both results are zero while there is
// no newer version.
func oldAfter(location Location, sources Sources, target *Target) (monotonic, wall time.Time) {
	first := rollout.OldestAfter(sources.Fleet.GetVersions(), target.Model, target.Version)
	if first == nil {
		return time.Time{}, time.Time{}
	}
	bound := location.VersionTime - versionMargin
	named := sources.Named[Version{Model: first.GetModel(), Number: first.GetVersion()}]
	return named.Add(bound), time.Unix(0, first.GetNamedUnixNano()).Add(bound)
}

// ready reports whether the target may get a request now.
func (t *Target) ready(now time.Time) bool {
	switch {
	case t.tooOld(now), t.Load.Standing.Refuses(now):
		return false
	case t.Silent && !t.Load.SucceededWithin(now, silentGrace):
		return false
	case t.Connections > 0 && t.Load.Own() >= t.Connections:
		return false
	}
	return !t.Load.Paused(now)
}

// tooOld reports whether the weights are too old, by either clock, for a request that begins
// at the time beginsAt.
func (t *Target) tooOld(beginsAt time.Time) bool {
	// Round(0) removes the monotonic reading, so that After compares wall clocks.
	return !t.OldAfter.IsZero() && (beginsAt.After(t.OldAfter) || beginsAt.Round(0).After(t.OldAfterWall))
}
