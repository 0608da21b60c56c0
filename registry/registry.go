// Package registry decides which upstreams there are and in what state, from
// what they announce themselves, what their agents say of the engines, and what
// other processes pass on. Announcements may come late, twice, out of order or
// from an incarnation that has ended; the merge does not depend on their order.
package registry

import (
	"cmp"
	"slices"
	"time"

	"figbank"
	"figbank/schema"
)

type (
	// Cursor is a position in a registry's changes.
	Cursor uint64

	// Registry holds the newest record of each upstream. It is not safe for
	// concurrent use. Records must not be modified once they are inside.
	Registry struct {
		lease     time.Duration
		revision  Cursor
		instances map[figbank.UpstreamID]*announced
		engines   map[figbank.Address]*engine
	}

	announced struct {
		record *schema.Instance
		heard  time.Time
		// changed is the revision of the last change that matters to routing, told
		// that of the last announcement.
		changed, told Cursor
	}

	engine struct {
		state   *schema.EngineState
		changed Cursor
	}

	// Changes are records that are newer than some cursor.
	Changes struct {
		Instances []*schema.Instance
		Engines   []*schema.EngineState
	}
)

// New returns an empty registry whose instances are silent after lease.
func New(lease time.Duration) *Registry {
	return &Registry{
		lease:     lease,
		instances: map[figbank.UpstreamID]*announced{},
		engines:   map[figbank.Address]*engine{},
	}
}

// Revision is the position after the last change.
func (r *Registry) Revision() Cursor {
	return r.revision
}

// Announce merges one record. It tells whether routing needs to know.
func (r *Registry) Announce(now time.Time, record *schema.Instance) bool {
	id := figbank.UpstreamID(record.GetId())
	known, found := r.instances[id]
	if found && !supersedes(record, known.record) {
		return false
	}
	if !found {
		known = &announced{}
		r.instances[id] = known
	}
	material := Material(known.record, record)
	known.record = record
	known.heard = now
	r.revision++
	known.told = r.revision
	if material {
		known.changed = r.revision
	}
	return material
}

// Leave notes that the present incarnation of an upstream is leaving for good.
// It tells whether the upstream was known and routing needs to know.
func (r *Registry) Leave(now time.Time, id figbank.UpstreamID) bool {
	known, found := r.instances[id]
	if !found || known.record.GetState() == schema.InstanceState_INSTANCE_STATE_GONE {
		return false
	}
	return r.Announce(now, withState(known.record, schema.InstanceState_INSTANCE_STATE_GONE))
}

// Expire marks as silent the instances whose lease has run out. It tells
// whether any became so.
func (r *Registry) Expire(now time.Time) bool {
	expired := false
	for _, known := range r.instances {
		if now.Sub(known.heard) <= r.lease || !Serving(known.record.GetState()) {
			continue
		}
		known.record = withState(known.record, schema.InstanceState_INSTANCE_STATE_SILENT)
		r.revision++
		known.changed, known.told = r.revision, r.revision
		expired = true
	}
	return expired
}

// HearEngine merges what an agent says. It tells whether routing needs to know.
func (r *Registry) HearEngine(state *schema.EngineState) bool {
	address := figbank.Address(state.GetAddress())
	known, found := r.engines[address]
	if found && !engineSupersedes(state, known.state) {
		return false
	}
	if found && sameEngine(known.state, state) {
		known.state = state
		return false
	}
	r.revision++
	r.engines[address] = &engine{state: state, changed: r.revision}
	return true
}

// Since returns what changed after the cursor. With announcements set, records
// that were only announced again are included, which keeps leases alive
// elsewhere.
func (r *Registry) Since(cursor Cursor, announcements bool) Changes {
	var changes Changes
	for _, known := range r.instances {
		if known.changed > cursor || announcements && known.told > cursor {
			changes.Instances = append(changes.Instances, known.record)
		}
	}
	for _, known := range r.engines {
		if known.changed > cursor {
			changes.Engines = append(changes.Engines, known.state)
		}
	}
	return changes
}

// Instances returns all records, sorted by id, with what agents say of their
// engines merged in. An address belongs to the newest incarnation there.
func (r *Registry) Instances() []Upstream {
	owners := map[string]*schema.Instance{}
	for _, known := range r.instances {
		owner, found := owners[known.record.GetAddress()]
		if !found || known.record.GetBornUnixMilli() > owner.GetBornUnixMilli() {
			owners[known.record.GetAddress()] = known.record
		}
	}
	upstreams := make([]Upstream, 0, len(owners))
	for _, record := range owners {
		upstreams = append(upstreams, r.upstream(record))
	}
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.Record.GetId(), b.Record.GetId()) })
	return upstreams
}

// Upstream is an instance with the newest that is known of its engine.
type Upstream struct {
	Record    *schema.Instance
	Loaded    *schema.LoadedWeights
	Switching bool
}

func (r *Registry) upstream(record *schema.Instance) Upstream {
	upstream := Upstream{Record: record, Loaded: record.GetLoaded()}
	known, found := r.engines[figbank.Address(record.GetAddress())]
	if found && known.state.GetBornUnixMilli() == record.GetBornUnixMilli() {
		upstream.Loaded = known.state.GetLoaded()
		upstream.Switching = known.state.GetSwitching()
	}
	return upstream
}

// Serving tells whether an instance in that state may get new work.
func Serving(state schema.InstanceState) bool {
	return state == schema.InstanceState_INSTANCE_STATE_READY
}

// Material tells whether the change from a to b matters to routing.
func Material(a, b *schema.Instance) bool {
	return a == nil ||
		a.GetState() != b.GetState() ||
		a.GetBornUnixMilli() != b.GetBornUnixMilli() ||
		a.GetAddress() != b.GetAddress() ||
		a.GetService() != b.GetService() ||
		a.GetSlots() != b.GetSlots() ||
		(a.GetColdMilliseconds() > 0) != (b.GetColdMilliseconds() > 0) ||
		!sameWeights(a.GetLoaded(), b.GetLoaded())
}

// supersedes orders the records of one id: by incarnation, then by finality,
// then by sequence. A silent record only stands until the next announcement.
func supersedes(a, b *schema.Instance) bool {
	if a.GetBornUnixMilli() != b.GetBornUnixMilli() {
		return a.GetBornUnixMilli() > b.GetBornUnixMilli()
	}
	if finality(a) != finality(b) {
		return finality(a) > finality(b)
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetState() == schema.InstanceState_INSTANCE_STATE_SILENT && Serving(b.GetState())
}

// finality ranks states that an incarnation does not return from.
func finality(record *schema.Instance) int {
	switch record.GetState() {
	case schema.InstanceState_INSTANCE_STATE_GONE:
		return 2
	case schema.InstanceState_INSTANCE_STATE_LEAVING:
		return 1
	default:
		return 0
	}
}

func engineSupersedes(a, b *schema.EngineState) bool {
	return cmp.Or(
		cmp.Compare(a.GetBornUnixMilli(), b.GetBornUnixMilli()),
		cmp.Compare(a.GetAgentStartUnixNano(), b.GetAgentStartUnixNano()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	) > 0
}

func sameEngine(a, b *schema.EngineState) bool {
	return a.GetBornUnixMilli() == b.GetBornUnixMilli() && a.GetSwitching() == b.GetSwitching() &&
		sameWeights(a.GetLoaded(), b.GetLoaded())
}

func sameWeights(a, b *schema.LoadedWeights) bool {
	return a.GetModel() == b.GetModel() && a.GetVersion() == b.GetVersion() && a.GetLayers() == b.GetLayers()
}

func withState(record *schema.Instance, state schema.InstanceState) *schema.Instance {
	return &schema.Instance{
		Id: record.GetId(), Service: record.GetService(), Address: record.GetAddress(),
		FailureDomain: record.GetFailureDomain(), BornUnixMilli: record.GetBornUnixMilli(),
		Sequence: record.GetSequence(), State: state, Slots: record.GetSlots(),
		ColdMilliseconds: record.GetColdMilliseconds(), Loaded: record.GetLoaded(),
	}
}
