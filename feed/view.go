// Package feed spreads what changes at run time: traffic rules, upstreams,
// engines and the deployment's own processes. Replicas serve feeds, all
// other processes subscribe to a few of them; any one that is reached suffices.
package feed

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/registry"
	"figbank/schema"
	"figbank/transport"
)

// expireInterval is how often leases are looked at.
const expireInterval = 200 * time.Millisecond

type (
	// View is what one process knows. It is safe for concurrent use.
	View struct {
		common figbank.Common
		fleet  *configuration.FleetHolder

		mu       sync.Mutex
		registry *registry.Registry
		roster   *roster
		// changed is closed when something matters to routing, announced also when an
		// upstream has only announced itself again.
		changed   chan struct{}
		announced chan struct{}
		watchers  []func()
	}
)

// NewView returns a view that knows nothing yet. Upstreams that announce
// themselves here are silent after lease.
func NewView(common figbank.Common, lease time.Duration, fleet *configuration.FleetHolder) *View {
	v := &View{
		common: common.For("feed"), fleet: fleet, registry: registry.New(lease),
		roster:    newRoster(),
		changed:   make(chan struct{}),
		announced: make(chan struct{}),
	}
	fleet.Watch(func(*schema.Fleet) { v.tell() })
	return v
}

// Watch calls watcher after each change. It must not block.
func (v *View) Watch(watcher func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, watcher)
}

// Fleet is the newest fleet known here.
func (v *View) Fleet() *schema.Fleet {
	return v.fleet.Current()
}

// Upstreams lists the newest incarnation at each address.
func (v *View) Upstreams() []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Instances()
}

// Members lists the processes in touch with any replica, sorted by id.
func (v *View) Members() []*schema.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := slices.Collect(maps.Values(v.roster.members()))
	slices.SortFunc(members, func(a, b *schema.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return members
}

// membersVersion changes with the list of members.
func (v *View) membersVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.changes
}

// Announce notes what an upstream says of itself. It tells whether anything
// that matters to routing changed.
func (v *View) Announce(record *schema.Instance) bool {
	v.mu.Lock()
	before := v.registry.Revision()
	material := v.registry.Announce(v.common.Clock.Now(), record)
	moved := v.registry.Revision() != before
	v.mu.Unlock()
	v.tellOf(material, moved)
	return material
}

// Leave notes that an upstream's incarnation leaves for good.
func (v *View) Leave(id figbank.UpstreamID) bool {
	v.mu.Lock()
	left := v.registry.Leave(v.common.Clock.Now(), id)
	v.mu.Unlock()
	if left {
		v.tell()
	}
	return left
}

// hearEngine notes what an agent says of its engine.
func (v *View) hearEngine(state *schema.EngineState) {
	if state.GetAddress() == "" {
		return
	}
	v.mu.Lock()
	changed := v.registry.HearEngine(state)
	v.mu.Unlock()
	if changed {
		v.tell()
	}
}

// apply takes in what a replica tells.
func (v *View) apply(from figbank.Address, update *schema.FeedUpdate) {
	if update.GetFleet() != nil {
		v.fleet.Offer(update.GetFleet())
	}
	v.mu.Lock()
	before := v.registry.Revision()
	now := v.common.Clock.Now()
	material := false
	for _, record := range update.GetInstances() {
		material = v.registry.Announce(now, record) || material
	}
	for _, state := range update.GetEngines() {
		material = v.registry.HearEngine(state) || material
	}
	material = v.roster.hear(from, update) || material
	moved := v.registry.Revision() != before
	v.mu.Unlock()
	v.tellOf(material, moved)
}

// join, part and renew keep the list of processes that are subscribed here.
func (v *View) join(member *schema.Member, stream *transport.Stream) {
	v.mu.Lock()
	v.roster.join(member, stream)
	v.mu.Unlock()
	v.tell()
}

func (v *View) part(id figbank.ProcessID, stream *transport.Stream) {
	v.mu.Lock()
	v.roster.part(id, stream)
	v.mu.Unlock()
	v.tell()
}

func (v *View) renew(member *schema.Member) {
	v.mu.Lock()
	changed := v.roster.renew(member)
	v.mu.Unlock()
	if changed {
		v.tell()
	}
}

// lose notes that a replica does not feed this process any more.
func (v *View) lose(from figbank.Address, drop bool) {
	v.mu.Lock()
	v.roster.lose(from, drop)
	v.mu.Unlock()
	v.tell()
}

// tellOf wakes those to whom the change matters.
func (v *View) tellOf(material, moved bool) {
	switch {
	case material:
		v.tell()
	case moved:
		v.mu.Lock()
		v.renewAnnounced()
		v.mu.Unlock()
	}
}

func (v *View) renewAnnounced() {
	close(v.announced)
	v.announced = make(chan struct{})
}

// tell wakes all that wait for changes.
func (v *View) tell() {
	v.mu.Lock()
	close(v.changed)
	v.changed = make(chan struct{})
	v.renewAnnounced()
	watchers := v.watchers
	v.mu.Unlock()
	for _, watcher := range watchers {
		watcher()
	}
}

// change returns a channel that is closed at the next change that matters to
// routing, or, for replicas, at the next announcement too.
func (v *View) change(role schema.MemberRole) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if role == schema.MemberRole_MEMBER_ROLE_REPLICA {
		return v.announced
	}
	return v.changed
}

// Expire lets leases run out until ctx ends. Only processes that hear
// announcements themselves do so; the others are told.
func (v *View) Expire(ctx context.Context) {
	ticks, stop := v.common.Clock.Tick(expireInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		v.mu.Lock()
		expired := v.registry.Expire(v.common.Clock.Now())
		v.mu.Unlock()
		if expired {
			v.tell()
		}
	}
}
