package feed

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

type (
	// memberTable holds what one process knows about the other processes: those that subscribe to
	// it, and those in the lists that replicas send. It is not safe for concurrent use.
	memberTable struct {
		subscribers map[figbank.ProcessID]*subscriberEntry
		lists       map[figbank.Address]*memberList
		// subscribersVersion counts the changes of subscribers. membersVersion counts the changes
		// of subscribers and of lists.
		subscribersVersion, membersVersion uint64
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
	}
)

func newMemberTable() *memberTable {
	return &memberTable{subscribers: map[figbank.ProcessID]*subscriberEntry{}, lists: map[figbank.Address]*memberList{}}
}

// members returns all known processes by id. If lists differ, a current one takes precedence over a
// stale one. This process's own subscribers take precedence over both.
func (r *memberTable) members() map[string]*schema.Member {
	all := map[string]*schema.Member{}
	for _, stale := range []bool{true, false} {
		for _, list := range r.lists {
			if list.stale == stale {
				maps.Copy(all, list.members)
			}
		}
	}
	for id, subscriber := range r.subscribers {
		all[string(id)] = subscriber.member
	}
	return all
}

// forSubscriber returns the members that a subscriber with a role needs, by id. A replica gets only
// the subscribers of this process, since it also subscribes to every other replica. Other processes
// get all replicas and all members of their own role.
func (r *memberTable) forSubscriber(role schema.MemberRole) map[string]*schema.Member {
	needed := map[string]*schema.Member{}
	if role == schema.MemberRole_MEMBER_ROLE_REPLICA {
		for id, subscriber := range r.subscribers {
			needed[string(id)] = subscriber.member
		}
		return needed
	}
	for id, member := range r.members() {
		if member.GetRole() == role || member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
			needed[id] = member
		}
	}
	return needed
}

// versionFor returns a number that changes whenever the result of forSubscriber may have changed.
func (r *memberTable) versionFor(role schema.MemberRole) uint64 {
	if role == schema.MemberRole_MEMBER_ROLE_REPLICA {
		return r.subscribersVersion
	}
	return r.membersVersion
}

func (r *memberTable) addSubscriber(member *schema.Member, stream *transport.Stream) {
	r.subscribers[figbank.ProcessID(member.GetId())] = &subscriberEntry{member: member, stream: stream}
	r.subscribersChanged()
}

// removeSubscriber removes a subscriber, unless it has already subscribed again on
// another stream.
func (r *memberTable) removeSubscriber(id figbank.ProcessID, stream *transport.Stream) {
	if subscriber, found := r.subscribers[id]; found && subscriber.stream == stream {
		delete(r.subscribers, id)
		r.subscribersChanged()
	}
}

// updateSubscriber stores a subscriber's new description of itself. It returns false and stores
// nothing if the subscriber is unknown, or if nothing has changed.
func (r *memberTable) updateSubscriber(member *schema.Member) bool {
	subscriber, found := r.subscribers[figbank.ProcessID(member.GetId())]
	if !found || sameMember(subscriber.member, member) {
		return false
	}
	subscriber.member = member
	r.subscribersChanged()
	return true
}

func (r *memberTable) subscribersChanged() {
	r.subscribersVersion++
	r.membersVersion++
}

// applyUpdate merges a replica's update of its list. It reports whether the list
// changed or was stale.
func (r *memberTable) applyUpdate(from figbank.Address, update *schema.FeedUpdate) bool {
	list := r.lists[from]
	if list == nil {
		list = &memberList{members: map[string]*schema.Member{}, stale: true}
		r.lists[from] = list
	}
	next := list.after(update)
	if !list.stale && maps.EqualFunc(list.members, next, sameMember) {
		return false
	}
	list.members, list.stale = next, false
	r.membersVersion++
	return true
}

// after returns the members that are listed after an update.
func (l *memberList) after(update *schema.FeedUpdate) map[string]*schema.Member {
	if !update.GetAllMembers() && len(update.GetMembers())+len(update.GetGoneMembers()) == 0 {
		return l.members
	}
	next := map[string]*schema.Member{}
	if !update.GetAllMembers() {
		maps.Copy(next, l.members)
	}
	for _, id := range update.GetGoneMembers() {
		delete(next, id)
	}
	for _, member := range update.GetMembers() {
		next[member.GetId()] = member
	}
	return next
}

// disconnect marks the list of a replica that no longer feeds this process as stale. The list
// remains until that replica sends another. If drop is set, disconnect removes the list, because
// other replicas report the same members.
func (r *memberTable) disconnect(from figbank.Address, drop bool) {
	list, found := r.lists[from]
	if !found {
		return
	}
	list.stale = true
	if drop {
		delete(r.lists, from)
	}
	r.membersVersion++
}

// fillDifference adds to update the changes that turn the sent members into the needed
// ones, sorted by id.
func fillDifference(update *schema.FeedUpdate, sent, needed map[string]*schema.Member) {
	for id, member := range needed {
		if known, found := sent[id]; !found || !sameMember(known, member) {
			update.Members = append(update.Members, member)
		}
	}
	for id := range sent {
		if _, found := needed[id]; !found {
			update.GoneMembers = append(update.GoneMembers, id)
		}
	}
	slices.SortFunc(update.Members, func(a, b *schema.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	slices.Sort(update.GoneMembers)
}

// sameMember reports whether a and b describe a process in the same way.
func sameMember(a, b *schema.Member) bool {
	return proto.Equal(a, b)
}
