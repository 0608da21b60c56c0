package feed

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// staleListTime is how long the members in the list of a lost replica are kept. By then, those that
// still run have subscribed to other replicas.
const staleListTime = 10 * time.Second

// subscriberRoles are the roles of processes that subscribe to feeds.
var subscriberRoles = []schema.MemberRole{
	schema.MemberRole_MEMBER_ROLE_REPLICA, schema.MemberRole_MEMBER_ROLE_GATEWAY, schema.MemberRole_MEMBER_ROLE_AGENT,
}

type (
	// memberTable holds what one process knows about the other processes: those that subscribe to
	// it, and those in the lists that replicas send. It is not safe for concurrent use.
	memberTable struct {
		subscribers map[figbank.ProcessID]*subscriberEntry
		lists       map[figbank.Address]*memberList
		// known holds all known processes.
		known *versionedMembers
		// byRole holds the members that subscribers with each role need.
		byRole map[schema.MemberRole]*versionedMembers
	}

	// subscriberEntry is a process that subscribes to this one, with its newest stream.
	subscriberEntry struct {
		member *schema.Member
		stream *transport.Stream
	}

	// memberList holds the members that one replica has reported, by their ids. It is
	// stale while that replica does not feed this process.
	memberList struct {
		members map[string]*schema.Member
		stale   bool
		// staleSince is when that replica last stopped feeding this process.
		staleSince time.Time
	}

	// memberChange tells whose lists of members a change has altered.
	memberChange struct {
		// known is set if the members that this process knows have changed.
		known bool
		// roles are those whose subscribers need an update.
		roles []schema.MemberRole
	}
)

func newMemberTable() *memberTable {
	r := &memberTable{
		subscribers: map[figbank.ProcessID]*subscriberEntry{}, lists: map[figbank.Address]*memberList{},
		known: newVersionedMembers(), byRole: map[schema.MemberRole]*versionedMembers{},
	}
	for _, role := range subscriberRoles {
		r.byRole[role] = newVersionedMembers()
	}
	return r
}

// membersFor returns the members that a subscriber with a role needs. A replica gets only the
// subscribers of this process, since it also subscribes to every other replica. Other processes
// get all replicas and all members of their own role.
func (r *memberTable) membersFor(role schema.MemberRole) *versionedMembers {
	if needed, found := r.byRole[role]; found {
		return needed
	}
	return r.byRole[schema.MemberRole_MEMBER_ROLE_GATEWAY]
}

func (r *memberTable) addSubscriber(member *schema.Member, stream *transport.Stream) memberChange {
	r.subscribers[figbank.ProcessID(member.GetId())] = &subscriberEntry{member: member, stream: stream}
	return r.refresh([]string{member.GetId()})
}

// removeSubscriber removes a subscriber, unless it has already subscribed again on
// another stream.
func (r *memberTable) removeSubscriber(id figbank.ProcessID, stream *transport.Stream) memberChange {
	if subscriber, found := r.subscribers[id]; !found || subscriber.stream != stream {
		return memberChange{}
	}
	delete(r.subscribers, id)
	return r.refresh([]string{string(id)})
}

// updateSubscriber stores a subscriber's new description of itself. It ignores the description of
// an unknown subscriber.
func (r *memberTable) updateSubscriber(member *schema.Member) memberChange {
	subscriber, found := r.subscribers[figbank.ProcessID(member.GetId())]
	if !found || sameMember(subscriber.member, member) {
		return memberChange{}
	}
	subscriber.member = member
	return r.refresh([]string{member.GetId()})
}

// applyUpdate merges a replica's update of its list.
func (r *memberTable) applyUpdate(from figbank.Address, update *schema.FeedUpdate) memberChange {
	list := r.lists[from]
	if list == nil {
		list = &memberList{members: map[string]*schema.Member{}, stale: true}
		r.lists[from] = list
	}
	affected := list.apply(update)
	if list.stale {
		list.stale = false
		affected = slices.AppendSeq(affected, maps.Keys(list.members))
	}
	return r.refresh(affected)
}

// apply merges an update and returns the ids that it may have changed.
func (l *memberList) apply(update *schema.FeedUpdate) []string {
	affected := slices.Clone(update.GetGoneMembers())
	if update.GetAllMembers() {
		affected = slices.AppendSeq(affected, maps.Keys(l.members))
		clear(l.members)
	}
	for _, id := range update.GetGoneMembers() {
		delete(l.members, id)
	}
	for _, member := range update.GetMembers() {
		l.members[member.GetId()] = member
		affected = append(affected, member.GetId())
	}
	return affected
}

// disconnect marks the list of a replica that no longer feeds this process as stale. The list
// remains until that replica sends another, or dropStale removes its members. If drop is set,
// disconnect removes the list, because other replicas report the same members.
func (r *memberTable) disconnect(now time.Time, from figbank.Address, drop bool) memberChange {
	list, found := r.lists[from]
	if !found {
		return memberChange{}
	}
	list.stale, list.staleSince = true, now
	if drop {
		delete(r.lists, from)
	}
	return r.refresh(slices.Collect(maps.Keys(list.members)))
}

// dropStale removes the members in lists that have been stale for staleListTime. Replicas stay: this
// process may have no other way to learn their addresses once a network partition ends.
func (r *memberTable) dropStale(now time.Time) memberChange {
	var dropped []string
	for _, list := range r.lists {
		if !list.stale || now.Sub(list.staleSince) < staleListTime {
			continue
		}
		for id, member := range list.members {
			if member.GetRole() != schema.MemberRole_MEMBER_ROLE_REPLICA {
				delete(list.members, id)
				dropped = append(dropped, id)
			}
		}
	}
	return r.refresh(dropped)
}

// refresh updates the lists for readers after what is known of some members may have changed.
func (r *memberTable) refresh(ids []string) memberChange {
	var change memberChange
	for _, id := range ids {
		change.known = r.known.set(id, r.find(id)) || change.known
		for _, role := range subscriberRoles {
			if r.byRole[role].set(id, r.neededBy(role, id)) && !slices.Contains(change.roles, role) {
				change.roles = append(change.roles, role)
			}
		}
	}
	return change
}

// find returns what is known about a member, or nil. This process's own subscribers take
// precedence over lists, and a current list over a stale one.
func (r *memberTable) find(id string) *schema.Member {
	if subscriber, found := r.subscribers[figbank.ProcessID(id)]; found {
		return subscriber.member
	}
	var newest *schema.Member
	var from figbank.Address
	stale := true
	for address, list := range r.lists {
		member, found := list.members[id]
		if !found || list.stale && !stale {
			continue
		}
		// Of equally current lists that differ, always the same one counts.
		if newest == nil || stale && !list.stale || address < from {
			newest, from, stale = member, address, list.stale
		}
	}
	return newest
}

// isCurrent reports whether a member subscribes to this process, or to a replica that feeds it now.
func (r *memberTable) isCurrent(id string) bool {
	if _, found := r.subscribers[figbank.ProcessID(id)]; found {
		return true
	}
	for _, list := range r.lists {
		if _, found := list.members[id]; found && !list.stale {
			return true
		}
	}
	return false
}

// neededBy returns the member with an id if subscribers with the role need it, otherwise nil.
func (r *memberTable) neededBy(role schema.MemberRole, id string) *schema.Member {
	if role == schema.MemberRole_MEMBER_ROLE_REPLICA {
		if subscriber, found := r.subscribers[figbank.ProcessID(id)]; found {
			return subscriber.member
		}
		return nil
	}
	member := r.known.members[id]
	if member.GetRole() == role || member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
		return member
	}
	return nil
}

// merge returns a change that has altered all that either of both changes has.
func (c memberChange) merge(other memberChange) memberChange {
	merged := memberChange{known: c.known || other.known, roles: slices.Clone(c.roles)}
	for _, role := range other.roles {
		if !slices.Contains(merged.roles, role) {
			merged.roles = append(merged.roles, role)
		}
	}
	return merged
}

// sameMember reports whether a and b describe a process in the same way.
func sameMember(a, b *schema.Member) bool {
	return a == b || proto.Equal(a, b)
}
