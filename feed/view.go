// Package feed distributes state that changes at run time: traffic rules, upstreams, engines and
// the processes of the deployment. Replicas serve feeds and subscribe to all other replicas. Other
// processes subscribe to a few replicas; they get all updates as long as one of those is connected.
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

	"go.uber.org/zap"
)

// expireInterval is the interval between checks for expired leases.
const expireInterval = 200 * time.Millisecond

type (
	// View is what one process knows about the deployment. It is safe for concurrent
	// use.
	View struct {
		common figbank.Common
		fleet  *configuration.FleetHolder

		mu       sync.Mutex
		registry *registry.Registry
		members  *memberTable
		// changed holds, by the role of subscribers, a channel that is closed and replaced when
		// there is something new for them: the fleet state, routing, members that they need and,
		// for replicas, an announcement that an upstream has only repeated.
		changed  map[schema.MemberRole]chan struct{}
		watchers []func()
		// region is this process's, or empty if it is unknown.
		region figbank.Region
		// position returns what this process knows of the log, unless it is nil.
		position func() *schema.LogPosition

		work workMeter

		// naming guards rules, the number of the rules whose services the registry has been told.
		naming sync.Mutex
		rules  int64
	}
)

// NewView returns an empty view. While ExpireLeases runs, an upstream counts as silent when its
// last announcement is older than lease.
func NewView(common figbank.Common, lease time.Duration, fleet *configuration.FleetHolder) *View {
	v := &View{
		common: common.Named("feed"), fleet: fleet, registry: registry.New(lease),
		members: newMemberTable(), changed: map[schema.MemberRole]chan struct{}{},
	}
	for _, role := range subscriberRoles {
		v.changed[role] = make(chan struct{})
	}
	fleet.Watch(func(*schema.Fleet) { v.notify(true, subscriberRoles) })
	return v
}

// ReportPosition makes the feeds from this process, a replica, tell what position returns.
func (v *View) ReportPosition(position func() *schema.LogPosition) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.position = position
}

// SetRegion tells in which region this process is. Without it, no process counts as far.
func (v *View) SetRegion(region figbank.Region) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.region = region
}

// isNear reports whether a process is not known to be in another region.
func (v *View) isNear(member *schema.Member) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.region == "" || member.GetRegion() == "" || figbank.Region(member.GetRegion()) == v.region
}

// logPosition returns what this process knows of the log, or nil if it is no replica.
func (v *View) logPosition() *schema.LogPosition {
	v.mu.Lock()
	position := v.position
	v.mu.Unlock()
	if position == nil {
		return nil
	}
	known := position()
	known.Fleet = v.fleet.Current().GetCommitIndex()
	return known
}

// Watch calls watcher after each change of the fleet state, routing or members. Calls may
// be concurrent. The watcher must not block.
func (v *View) Watch(watcher func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, watcher)
}

// isForeign reports whether a name is that of another log than the one that this process's fleet state is from.
func (v *View) isForeign(log string) bool {
	own := v.fleet.Current().GetLog()
	return own != "" && log != "" && own != log
}

// Fleet returns the newest fleet state that this process knows.
func (v *View) Fleet() *schema.Fleet {
	return v.fleet.Current()
}

// Upstreams lists the newest incarnation at each address among those of named services, in any state, sorted by id.
func (v *View) Upstreams(named registry.Services) []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Upstreams(named)
}

// Engine returns the newest report on the engine at an address, or nil.
func (v *View) Engine(address figbank.Address) *schema.EngineState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Engine(address)
}

// Members lists the known processes that subscribe to replicas, sorted by id. A replica knows all
// of them. Any other process knows the replicas and the processes of its own role. While no replica
// feeds the process, Members returns the last known list. Members tells which addresses are worth
// trying. It does not prove that a process still runs, see CurrentMembers.
func (v *View) Members() []*schema.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return sortedMembers(slices.Collect(maps.Values(v.members.known.members)))
}

// CurrentMembers lists the members that subscribe to this process, or to a replica that feeds it
// now, sorted by id. It leaves out what only a replica that is lost has reported.
func (v *View) CurrentMembers() []*schema.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var current []*schema.Member
	for id, member := range v.members.known.members {
		if v.members.isCurrent(id) {
			current = append(current, member)
		}
	}
	return sortedMembers(current)
}

func sortedMembers(members []*schema.Member) []*schema.Member {
	slices.SortFunc(members, func(a, b *schema.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return members
}

// membersVersion returns a number that changes whenever the list of members changes.
func (v *View) membersVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return uint64(v.members.known.revision)
}

// Announce merges what is known of an upstream. It reports whether anything that affects routing changed.
func (v *View) Announce(record *schema.Instance) bool {
	return v.merge((*registry.Registry).Announce, record)
}

// Report merges an upstream's own announcement, like Announce.
func (v *View) Report(record *schema.Instance) bool {
	return v.merge((*registry.Registry).Report, record)
}

func (v *View) merge(into func(*registry.Registry, time.Time, *schema.Instance) bool, record *schema.Instance) bool {
	v.mu.Lock()
	before := v.registry.Revision()
	changed := into(v.registry, v.common.Clock.Now(), record)
	renewed := v.registry.Revision() != before
	v.mu.Unlock()
	v.notifyOf(changed, renewed, memberChange{})
	return changed
}

// Leave records that the incarnation of a record leaves for good. It returns the newest record of the
// upstream, which may be that of a later incarnation, or nil if the upstream is unknown.
func (v *View) Leave(record *schema.Instance) *schema.Instance {
	v.merge(func(r *registry.Registry, now time.Time, record *schema.Instance) bool { return r.Leave(now, record) }, record)
	return v.Instance(figbank.UpstreamID(record.GetId()), figbank.ServiceName(record.GetService()))
}

// Instance returns the newest record of an upstream of a service, or nil.
func (v *View) Instance(id figbank.UpstreamID, service figbank.ServiceName) *schema.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Instance(id, service)
}

// Instances returns the newest records of an upstream, one for each service under which its id was announced.
func (v *View) Instances(id figbank.UpstreamID) []*schema.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Instances(id)
}

// mergeEngine merges an agent's report on its engine. It ignores a report without an address.
// Processes without an engine send nil, which it ignores too.
func (v *View) mergeEngine(state *schema.EngineState) {
	if state.GetAddress() == "" {
		return
	}
	v.mu.Lock()
	changed := v.registry.MergeEngine(v.common.Clock.Now(), state)
	v.mu.Unlock()
	v.notifyOf(changed, false, memberChange{})
}

// apply merges an update from a replica. The fleet state comes last, so that watchers never see it
// without the upstreams and members of the same update.
func (v *View) apply(from figbank.Address, update *schema.FeedUpdate) {
	v.mu.Lock()
	before := v.registry.Revision()
	now := v.common.Clock.Now()
	changed := false
	for _, record := range update.GetInstances() {
		if err := registry.CheckInstance(now, record); err != nil {
			v.common.Log.Warn("ignored a record from a feed", zap.String("upstream", record.GetId()), zap.String("replica", string(from)), figbank.ErrorField(err))
			continue
		}
		changed = v.registry.Announce(now, record) || changed
	}
	for _, state := range update.GetEngines() {
		changed = v.registry.MergeEngine(now, state) || changed
	}
	members := v.members.applyUpdate(from, update).merge(v.members.dropStale(now))
	renewed := v.registry.Revision() != before
	v.mu.Unlock()
	if fleet := update.GetFleet(); fleet != nil && !v.isForeign(fleet.GetLog()) && v.fleet.Offer(fleet) {
		v.common.Log.Info("fleet state received", zap.String("replica", string(from)), zap.Uint64("commit", fleet.GetCommitIndex()),
			zap.Int64("rules", fleet.GetTrafficNumber()))
	}
	v.notifyOf(changed, renewed, members)
}

// addSubscriber, removeSubscriber and updateSubscriber maintain the processes that
// subscribe to this one.
func (v *View) addSubscriber(member *schema.Member, stream *transport.Stream) {
	v.mu.Lock()
	change := v.members.addSubscriber(member, stream)
	v.mu.Unlock()
	v.notifyOf(false, false, change)
}

func (v *View) removeSubscriber(id figbank.ProcessID, stream *transport.Stream) {
	v.mu.Lock()
	change := v.members.removeSubscriber(id, stream)
	v.mu.Unlock()
	v.notifyOf(false, false, change)
}

func (v *View) updateSubscriber(member *schema.Member) {
	v.mu.Lock()
	change := v.members.updateSubscriber(member)
	v.mu.Unlock()
	v.notifyOf(false, false, change)
}

// disconnect records that a replica no longer feeds this process. If drop is set, it also removes
// the list of members from that replica.
func (v *View) disconnect(from figbank.Address, drop bool) {
	v.mu.Lock()
	change := v.members.disconnect(v.common.Clock.Now(), from, drop)
	v.mu.Unlock()
	v.notifyOf(false, false, change)
}

// notifyOf wakes the feeds that have something new to send, and calls the watchers if routing or
// the known members have changed. Announcements that have merely been repeated concern the feeds
// to replicas only.
func (v *View) notifyOf(routing, renewed bool, members memberChange) {
	roles := members.roles
	switch {
	case routing:
		roles = subscriberRoles
	case renewed && !slices.Contains(roles, schema.MemberRole_MEMBER_ROLE_REPLICA):
		roles = append(slices.Clone(roles), schema.MemberRole_MEMBER_ROLE_REPLICA)
	}
	v.notify(routing || members.known, roles)
}

// notify wakes the feeds to subscribers with the given roles. If watchers is set, it calls the
// watchers.
func (v *View) notify(watchers bool, roles []schema.MemberRole) {
	v.mu.Lock()
	for _, role := range roles {
		close(v.changed[role])
		v.changed[role] = make(chan struct{})
	}
	var called []func()
	if watchers {
		called = v.watchers
	}
	v.mu.Unlock()
	for _, watcher := range called {
		watcher()
	}
}

// nextChange returns a channel that is closed when there is something new for subscribers with
// this role.
func (v *View) nextChange(role schema.MemberRole) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if changed, found := v.changed[role]; found {
		return changed
	}
	return v.changed[schema.MemberRole_MEMBER_ROLE_GATEWAY]
}

// ExpireLeases marks upstreams whose leases have expired as silent, and forgets records that name no service, until ctx
// ends. Only processes that receive announcements themselves run it. The others learn of
// silent upstreams from feeds.
func (v *View) ExpireLeases(ctx context.Context) {
	ticks, stop := v.common.Clock.Tick(expireInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		v.followServices()
		now := v.common.Clock.Now()
		v.mu.Lock()
		before := v.registry.Revision()
		expired := v.registry.Expire(now)
		renewed := v.registry.Revision() != before
		unnamed := v.registry.ForgetUnnamed(now)
		v.mu.Unlock()
		v.common.Scope.Gauge("unnamed_instances").Update(float64(unnamed))
		v.notifyOf(expired, renewed, memberChange{})
	}
}
