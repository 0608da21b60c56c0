package dispatch

import (
	"slices"
	"time"

	"figbank"
	"figbank/pace"
	"figbank/registry"
	"figbank/rollout"
	"figbank/schema"
	"figbank/traffic"
)

const (
	// silentTrust is how long an upstream that no longer announces itself is still
	// used after it has answered well.
	silentTrust = 3 * time.Second
	// versionMargin is how long before the bound older weights stop being used: a
	// narrow link may deliver a request a second late, also one that was taken back.
	versionMargin = 1300 * time.Millisecond
)

type (
	// Place is where a gateway stands.
	Place struct {
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
		// Regions is the region of each failure domain.
		Regions map[figbank.FailureDomain]figbank.Region
		// VersionTime is the bound after which no request begins on weights older
		// than those named.
		VersionTime time.Duration
	}

	// Table is an immutable view of routes and upstreams.
	Table struct {
		Traffic  *traffic.Table
		Index    figbank.CommitIndex
		services map[figbank.ServiceName][]*Target
		loads    map[loadKey]*Load
		gateways int
	}

	// Target is one incarnation of an upstream that may get requests.
	Target struct {
		ID      figbank.UpstreamID
		Born    int64
		Address figbank.Address
		Region  figbank.Region
		Near    bool
		Slots   int
		Engine  *pace.Engine
		Model   string
		Version int64
		// Silent targets no longer announce themselves.
		Silent bool
		// OldAfter is when its weights become too old to begin requests on, by the steady
		// clock; zero for never. OldAfterWall is the same by the time of day.
		OldAfter, OldAfterWall time.Time
		// ColdUntil is until when it bears only ColdPerSecond requests of this gateway.
		ColdUntil     time.Time
		ColdPerSecond float64
		// ColdFrom is from when this gateway knows its share; before, a cold target gets nothing.
		ColdFrom time.Time
		// Connections is this gateway's share of what the upstream accepts; 0 for no bound.
		Connections int64
		Delay       time.Duration
		Load        *Load
	}

	// Version is a version of a model's weights.
	Version struct {
		Model  string
		Number int64
	}

	loadKey struct {
		id   figbank.UpstreamID
		born int64
	}

	// Sources are what a table is built from.
	Sources struct {
		Fleet     *schema.Fleet
		Traffic   *traffic.Table
		Upstreams []registry.Upstream
		// Named is when each version was named, by this process's steady clock.
		Named map[Version]time.Time
		// Gateways is how many gateways share the upstreams.
		Gateways int
		// SettledAt is from when Gateways can be relied on.
		SettledAt time.Time
		Now       time.Time
	}
)

// NewTable builds the table that follows previous, whose loads it keeps.
func NewTable(previous *Table, place Place, sources Sources) *Table {
	t := &Table{
		Traffic: sources.Traffic, Index: figbank.CommitIndex(sources.Fleet.GetCommitIndex()),
		services: map[figbank.ServiceName][]*Target{}, loads: map[loadKey]*Load{},
		gateways: max(1, sources.Gateways),
	}
	engines := map[figbank.ServiceName]*pace.Engine{}
	for _, upstream := range sources.Upstreams {
		name := figbank.ServiceName(upstream.Record.GetService())
		service := t.Traffic.Service(name)
		if service == nil || !usable(sources.Fleet, service, upstream) {
			continue
		}
		if service.GetEngine() != nil && engines[name] == nil {
			engines[name] = pace.NewEngine(service.GetEngine())
		}
		target := t.target(previous, place, sources, service, upstream)
		target.Engine = engines[name]
		t.services[name] = append(t.services[name], target)
	}
	return t
}

// Targets lists a service's upstreams.
func (t *Table) Targets(service figbank.ServiceName) []*Target {
	return t.services[service]
}

// Load returns what is known of one incarnation, or nil.
func (t *Table) Load(id figbank.UpstreamID, born int64) *Load {
	return t.loads[loadKey{id: id, born: born}]
}

// Loads calls act for each incarnation's load.
func (t *Table) Loads(act func(id figbank.UpstreamID, born int64, load *Load)) {
	for key, load := range t.loads {
		act(key.id, key.born, load)
	}
}

// usable tells whether an upstream may get new work at all.
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

func (t *Table) target(previous *Table, place Place, sources Sources, service *schema.RoutedService, upstream registry.Upstream) *Target {
	record := upstream.Record
	key := loadKey{id: figbank.UpstreamID(record.GetId()), born: record.GetBornUnixMilli()}
	load := &Load{}
	if previous != nil && previous.loads[key] != nil {
		load = previous.loads[key]
	}
	t.loads[key] = load
	domain := figbank.FailureDomain(record.GetFailureDomain())
	target := &Target{
		ID: key.id, Born: key.born, Address: figbank.Address(record.GetAddress()),
		Region: place.Regions[domain], Near: domain == place.FailureDomain, Slots: int(record.GetSlots()),
		Model: upstream.Loaded.GetModel(), Version: upstream.Loaded.GetVersion(),
		Silent:      record.GetState() == schema.InstanceState_INSTANCE_STATE_SILENT,
		Connections: t.shareOf(service.GetMaxConnections()), Load: load,
	}
	if cold := record.GetColdMilliseconds(); cold > 0 && service.GetColdRequestsPerSecond() > 0 {
		target.ColdUntil = sources.Now.Add(time.Duration(cold) * time.Millisecond)
		target.ColdFrom = sources.SettledAt
		target.ColdPerSecond = service.GetColdRequestsPerSecond() / float64(t.gateways)
	}
	target.OldAfter, target.OldAfterWall = oldAfter(place, sources, target)
	return target
}

// shareOf is this gateway's share of the connections that an upstream takes: one
// at least, since 0 stands for no bound.
func (t *Table) shareOf(connections int64) int64 {
	if connections <= 0 {
		return 0
	}
	return max(1, connections/int64(t.gateways))
}

// oldAfter is when the target's weights become older than the first named
// version that it lacks allows, by this process's steady clock and by the time
// of day: the one stands still while the host is suspended, the other may jump.
func oldAfter(place Place, sources Sources, target *Target) (steady, wall time.Time) {
	first := rollout.FirstAfter(sources.Fleet.GetVersions(), target.Model, target.Version)
	if first == nil {
		return time.Time{}, time.Time{}
	}
	bound := place.VersionTime - versionMargin
	named := sources.Named[Version{Model: first.GetModel(), Number: first.GetVersion()}]
	return named.Add(bound), time.Unix(0, first.GetNamedUnixNano()).Add(bound)
}

// ready tells whether the target may get a request now.
func (t *Target) ready(now time.Time) bool {
	switch {
	case t.old(now):
		return false
	case t.Silent && !t.Load.succeededWithin(now, silentTrust):
		return false
	case t.Connections > 0 && t.Load.Own() >= t.Connections:
		return false
	}
	return !t.Load.Paused(now)
}

// old tells whether a request that begins then would find weights that are too old.
func (t *Target) old(then time.Time) bool {
	return !t.OldAfter.IsZero() && (then.After(t.OldAfter) || then.Round(0).After(t.OldAfterWall))
}

// bears tells whether a cold target bears one more request.
func (t *Target) bears(now time.Time) bool {
	if !now.Before(t.ColdUntil) {
		return true
	}
	return !now.Before(t.ColdFrom) && t.Load.cold.open(now, t.ColdPerSecond)
}

// takeCold counts a request that goes to a cold target.
func (t *Target) takeCold(now time.Time) {
	if now.Before(t.ColdUntil) {
		t.Load.cold.take(now, t.ColdPerSecond)
	}
}
