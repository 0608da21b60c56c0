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
		instances          map[instanceKey]*instanceEntry
		engines            map[figbank.Address]*schema.EngineState
		// services are those that the rules name, nil while they are not known.
		services map[figbank.ServiceName]bool
	}

	// instanceKey names a record of an upstream. The service is part of it: a record of a service that no rules name must not
	// replace one of a service that they name, and rules change.
	instanceKey struct {
		id      figbank.UpstreamID
		service figbank.ServiceName
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
		instance instanceKey
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
		instances: map[instanceKey]*instanceEntry{},
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
	key := keyOf(record)
	known, found := r.instances[key]
	if found && !Supersedes(record, known.record) {
		return false
	}
	if !found {
		known = &instanceEntry{}
		r.instances[key] = known
	}
	affectsRouting := r.Names(key.service) && AffectsRouting(known.record, record)
	known.record = record
	known.announcedAt = now
	r.record(recordKey{instance: key}, affectsRouting)
	return affectsRouting
}

// Report merges an upstream's own announcement. Announcements of an incarnation that is recorded as gone, or was born before
// the known one by the clock, are ignored, until there are so many that it must serve.
func (r *Registry) Report(now time.Time, report *schema.Instance) bool {
	known, found := r.instances[keyOf(report)]
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

// Leave records that the incarnation of a record leaves for good. It changes nothing if that is not the
// newest incarnation or has already left. It reports whether anything that affects routing changed.
func (r *Registry) Leave(now time.Time, record *schema.Instance) bool {
	known, found := r.instances[keyOf(record)]
	if !found || known.record.GetBornUnixMilli() != record.GetBornUnixMilli() || known.record.GetState() == schema.InstanceState_INSTANCE_STATE_GONE {
		return false
	}
	return r.Announce(now, withState(known.record, schema.InstanceState_INSTANCE_STATE_GONE))
}

// Expire marks the serving instances whose lease has expired as silent. It reports
// whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	expired := false
	for key, known := range r.instances {
		if now.Sub(known.announcedAt) <= r.lease || !Serving(known.record.GetState()) {
			continue
		}
		known.record = withState(known.record, schema.InstanceState_INSTANCE_STATE_SILENT)
		affectsRouting := r.Names(key.service)
		r.record(recordKey{instance: key}, affectsRouting)
		expired = expired || affectsRouting
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

// Since returns the records that changed after the cursor, of services that the rules name. If announcements is set, it also
// returns records whose announcement was only repeated, and those of other services. Sending them to other processes renews the
// leases there.
func (r *Registry) Since(cursor Cursor, announcements bool) Changes {
	log := &r.changed
	if announcements {
		log = &r.announced
	}
	keys, whole := log.Since(cursor)
	if !whole || cursor == 0 {
		return r.all(announcements)
	}
	var changes Changes
	for _, key := range keys {
		if known, found := r.instances[key.instance]; found && (announcements || r.Names(key.instance.service)) {
			changes.Instances = append(changes.Instances, known.record)
		}
		if known, found := r.engines[key.engine]; found {
			changes.Engines = append(changes.Engines, known)
		}
	}
	return changes
}

// all returns all records, without unnamed only those of services that the rules name.
func (r *Registry) all(unnamed bool) Changes {
	var all Changes
	for key, known := range r.instances {
		if unnamed || r.Names(key.service) {
			all.Instances = append(all.Instances, known.record)
		}
	}
	for _, known := range r.engines {
		all.Engines = append(all.Engines, known)
	}
	return all
}

// Instance returns the newest record of an upstream of a service, or nil.
func (r *Registry) Instance(id figbank.UpstreamID, service figbank.ServiceName) *schema.Instance {
	if known, found := r.instances[instanceKey{id: id, service: service}]; found {
		return known.record
	}
	return nil
}

// Instances returns the newest records of an upstream, one for each service under which its id was announced.
func (r *Registry) Instances(id figbank.UpstreamID) []*schema.Instance {
	var records []*schema.Instance
	for key, known := range r.instances {
		if key.id == id {
			records = append(records, known.record)
		}
	}
	slices.SortFunc(records, func(a, b *schema.Instance) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return records
}

// Engine returns the newest report on the engine at an address, or nil.
func (r *Registry) Engine(address figbank.Address) *schema.EngineState {
	return r.engines[address]
}

func keyOf(record *schema.Instance) instanceKey {
	return instanceKey{id: figbank.UpstreamID(record.GetId()), service: figbank.ServiceName(record.GetService())}
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
