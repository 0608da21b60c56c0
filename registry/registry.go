// Package registry keeps the known upstreams and their states. It merges the
// upstreams' own announcements, the agents' reports on engines, and what other
// processes forward. Announcements may come late, twice, out of order or from an
// incarnation that has ended; the merge does not depend on their order.
package registry

import (
	"cmp"
	"slices"
	"time"

	"figbank"
	"figbank/changelog"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

type (
	// Cursor is a position in the sequence of a registry's changes.
	Cursor = changelog.Revision

	// Registry holds the newest record of each upstream. It is not safe for
	// concurrent use. A record must not be modified once the registry holds it.
	Registry struct {
		lease    time.Duration
		revision Cursor
		// changed logs the changes that affect routing: of instances by their id, of engines by
		// their address. announced logs the other announcements too.
		changed, announced changelog.Log[recordKey]
		instances          map[figbank.UpstreamID]*instanceEntry
		engines            map[figbank.Address]*schema.EngineState
	}

	// instanceEntry is the newest record of an upstream.
	instanceEntry struct {
		record      *schema.Instance
		announcedAt time.Time
		// later are the reports that came after the incarnation was recorded as gone.
		later laterReports
		// other are reports of an incarnation that was born before this one by the clock.
		other otherReports
	}

	// recordKey names a record: an instance or an engine. The other field is empty.
	recordKey struct {
		instance figbank.UpstreamID
		engine   figbank.Address
	}

	// Changes holds the records that have changed since a cursor. They must not be
	// modified.
	Changes struct {
		Instances []*schema.Instance
		Engines   []*schema.EngineState
	}
)

// New returns an empty registry. Expire marks an instance as silent when its last announcement is
// older than lease.
func New(lease time.Duration) *Registry {
	return &Registry{
		lease:     lease,
		instances: map[figbank.UpstreamID]*instanceEntry{},
		engines:   map[figbank.Address]*schema.EngineState{},
	}
}

// Revision returns the position after the last change.
func (r *Registry) Revision() Cursor {
	return r.revision
}

// Announce merges one record; it ignores a record that is invalid or does not supersede the known
// one. It reports whether anything that affects routing changed.
func (r *Registry) Announce(now time.Time, record *schema.Instance) bool {
	if CheckInstance(now, record) != nil {
		return false
	}
	id := figbank.UpstreamID(record.GetId())
	known, found := r.instances[id]
	if found && !Supersedes(record, known.record) {
		return false
	}
	if !found {
		known = &instanceEntry{}
		r.instances[id] = known
	}
	affectsRouting := AffectsRouting(known.record, record)
	known.record = record
	known.announcedAt = now
	r.record(recordKey{instance: id}, affectsRouting)
	return affectsRouting
}

// Report merges an upstream's own announcement. Announcements of an incarnation that is recorded as gone, or was born before
// the known one by the clock, are ignored, until there are so many that it must serve.
func (r *Registry) Report(now time.Time, report *schema.Instance) bool {
	known, found := r.instances[figbank.UpstreamID(report.GetId())]
	if !found || CheckInstance(now, report) != nil {
		return r.Announce(now, report)
	}
	if known.record.GetBornUnixMilli() != report.GetBornUnixMilli() {
		return r.reportOther(now, known, report)
	}
	known.other = otherReports{}
	report = proto.CloneOf(report)
	report.Renewals, report.BirthOrder = known.record.GetRenewals(), known.record.GetBirthOrder()
	if known.record.GetState() == schema.InstanceState_INSTANCE_STATE_GONE && Serving(report.GetState()) &&
		known.later.disprove(now, known.announcedAt, known.record, report) {
		report.Renewals++
		known.later = laterReports{}
	}
	return r.Announce(now, report)
}

// reportOther merges a report of another incarnation than the known one of the upstream.
func (r *Registry) reportOther(now time.Time, known *instanceEntry, report *schema.Instance) bool {
	if report.GetBornUnixMilli() <= birthOrder(known.record) {
		if !known.other.prove(now, known.announcedAt, report) {
			return false
		}
		report = proto.CloneOf(report)
		report.BirthOrder = birthOrder(known.record) + 1
	}
	known.other, known.later = otherReports{}, laterReports{}
	return r.Announce(now, report)
}

// Leave records that an incarnation of an upstream leaves for good. It returns false if that is not the
// newest incarnation or has already left.
func (r *Registry) Leave(now time.Time, id figbank.UpstreamID, bornUnixMilli int64) bool {
	known, found := r.instances[id]
	if !found || known.record.GetBornUnixMilli() != bornUnixMilli || known.record.GetState() == schema.InstanceState_INSTANCE_STATE_GONE {
		return false
	}
	return r.Announce(now, withState(known.record, schema.InstanceState_INSTANCE_STATE_GONE))
}

// Expire marks the serving instances whose lease has expired as silent. It reports
// whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	expired := false
	for id, known := range r.instances {
		if now.Sub(known.announcedAt) <= r.lease || !Serving(known.record.GetState()) {
			continue
		}
		known.record = withState(known.record, schema.InstanceState_INSTANCE_STATE_SILENT)
		r.record(recordKey{instance: id}, true)
		expired = true
	}
	return expired
}

// MergeEngine merges an agent's report on its engine; it ignores an invalid one. It reports whether
// anything that affects routing changed.
func (r *Registry) MergeEngine(now time.Time, state *schema.EngineState) bool {
	if CheckEngine(now, state) != nil {
		return false
	}
	address := figbank.Address(state.GetAddress())
	known, found := r.engines[address]
	if found && !engineSupersedes(state, known) {
		return false
	}
	r.engines[address] = state
	if found && sameEngine(known, state) {
		return false
	}
	r.record(recordKey{engine: address}, true)
	return true
}

// record logs a change of one record.
func (r *Registry) record(key recordKey, affectsRouting bool) {
	r.revision++
	r.announced.Add(r.revision, key)
	if affectsRouting {
		r.changed.Add(r.revision, key)
	}
}

// Since returns the records that changed after the cursor. If announcements is set, it also returns
// records whose announcement was only repeated. Sending them to other processes renews the leases
// there.
func (r *Registry) Since(cursor Cursor, announcements bool) Changes {
	log := &r.changed
	if announcements {
		log = &r.announced
	}
	keys, whole := log.Since(cursor)
	if !whole || cursor == 0 {
		return r.all()
	}
	var changes Changes
	for _, key := range keys {
		if known, found := r.instances[key.instance]; found {
			changes.Instances = append(changes.Instances, known.record)
		}
		if known, found := r.engines[key.engine]; found {
			changes.Engines = append(changes.Engines, known)
		}
	}
	return changes
}

// all returns all records.
func (r *Registry) all() Changes {
	var all Changes
	for _, known := range r.instances {
		all.Instances = append(all.Instances, known.record)
	}
	for _, known := range r.engines {
		all.Engines = append(all.Engines, known)
	}
	return all
}

// Upstreams returns the newest incarnation at each address, sorted by id: the one that serves if only one does, since the
// clock may have gone back between two. Each includes its agent's latest report on the engine.
func (r *Registry) Upstreams() []Upstream {
	owners := map[string]*schema.Instance{}
	for _, known := range r.instances {
		owner, found := owners[known.record.GetAddress()]
		if !found || ownsAddress(known.record, owner) {
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

// ownsAddress reports whether a, rather than b, is the incarnation at the address of both.
func ownsAddress(a, b *schema.Instance) bool {
	if Serving(a.GetState()) != Serving(b.GetState()) {
		return Serving(a.GetState())
	}
	return birthOrder(a) > birthOrder(b)
}

// Upstream is an instance with the newest known state of its engine.
type Upstream struct {
	Record    *schema.Instance
	Loaded    *schema.LoadedWeights
	Switching bool
	// Leaving is set if the engine has told its agent that it leaves.
	Leaving bool
}

func (r *Registry) upstream(record *schema.Instance) Upstream {
	upstream := Upstream{Record: record, Loaded: record.GetLoaded()}
	known, found := r.engines[figbank.Address(record.GetAddress())]
	if found && known.GetBornUnixMilli() == record.GetBornUnixMilli() {
		upstream.Loaded = known.GetLoaded()
		upstream.Switching = known.GetSwitching()
		upstream.Leaving = known.GetLeaving()
	}
	return upstream
}

// Instance returns the newest record of an upstream, or nil.
func (r *Registry) Instance(id figbank.UpstreamID) *schema.Instance {
	if known, found := r.instances[id]; found {
		return known.record
	}
	return nil
}

func withState(record *schema.Instance, state schema.InstanceState) *schema.Instance {
	return &schema.Instance{
		Id: record.GetId(), Service: record.GetService(), Address: record.GetAddress(),
		FailureDomain: record.GetFailureDomain(), BornUnixMilli: record.GetBornUnixMilli(),
		Sequence: record.GetSequence(), State: state, Slots: record.GetSlots(),
		ColdMilliseconds: record.GetColdMilliseconds(), Loaded: record.GetLoaded(), Renewals: record.GetRenewals(),
		BirthOrder: record.GetBirthOrder(),
	}
}
