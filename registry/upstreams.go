package registry

import (
	"cmp"
	"slices"

	"figbank"
	"figbank/schema"
)

type (
	// Services reports whether a service is one that the rules in force name.
	Services func(figbank.ServiceName) bool

	// Upstream is an instance with the newest known state of its engine.
	Upstream struct {
		Record    *schema.Instance
		Loaded    *schema.LoadedWeights
		Switching bool
		// Leaving is set if the engine has told its agent that it leaves.
		Leaving bool
	}
)

// AnyService stands for rules that name every service.
func AnyService(figbank.ServiceName) bool { return true }

// Upstreams returns the newest incarnation at each address, sorted by id: the one that serves if only one does, since the
// clock may have gone back between two. Each includes its agent's latest report on the engine. A record of a service
// that is not named has no part in this, whatever its id, address and birth; as soon as the service is named, it has.
func (r *Registry) Upstreams(named Services) []Upstream {
	owners := map[string]*schema.Instance{}
	for _, record := range r.current(named) {
		owner, found := owners[record.GetAddress()]
		if !found || ownsAddress(record, owner) {
			owners[record.GetAddress()] = record
		}
	}
	upstreams := make([]Upstream, 0, len(owners))
	for _, record := range owners {
		upstreams = append(upstreams, r.upstream(record))
	}
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.Record.GetId(), b.Record.GetId()) })
	return upstreams
}

// current returns the newest record of each id among those of named services.
func (r *Registry) current(named Services) map[figbank.UpstreamID]*schema.Instance {
	records := make(map[figbank.UpstreamID]*schema.Instance, len(r.instances))
	for key, known := range r.instances {
		if !named(key.service) {
			continue
		}
		other, found := records[key.id]
		if !found || ownsID(known.record, other) {
			records[key.id] = known.record
		}
	}
	return records
}

// ownsID reports whether a, rather than b, is the incarnation of the id of both, which they have announced for two services:
// the later one, unless it has ended and the other one has not.
func ownsID(a, b *schema.Instance) bool {
	if ended(a) != ended(b) {
		return ended(b)
	}
	return cmp.Or(cmp.Compare(birthOrder(a), birthOrder(b)), cmp.Compare(a.GetService(), b.GetService())) > 0
}

// ended reports whether an incarnation has said that it is gone, or says nothing any more.
func ended(record *schema.Instance) bool {
	return record.GetState() == schema.InstanceState_INSTANCE_STATE_GONE || record.GetState() == schema.InstanceState_INSTANCE_STATE_SILENT
}

// ownsAddress reports whether a, rather than b, is the incarnation at the address of both.
func ownsAddress(a, b *schema.Instance) bool {
	if Serving(a.GetState()) != Serving(b.GetState()) {
		return Serving(a.GetState())
	}
	return birthOrder(a) > birthOrder(b)
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
