package feed

import (
	"cmp"
	"maps"
	"slices"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

type (
	// roster is what one process knows of the others: those subscribed here, and
	// those that each replica lists. It is not safe for concurrent use.
	roster struct {
		direct map[figbank.ProcessID]*joined
		listed map[figbank.Address]*listing
		// joins counts the changes of direct, changes those of both.
		joins, changes uint64
	}

	// joined is a process that is subscribed here, by its newest stream.
	joined struct {
		member *schema.Member
		stream *transport.Stream
	}

	// listing is what one replica lists; lost ones are not fed at present.
	listing struct {
		members map[string]*schema.Member
		lost    bool
	}
)

func newRoster() *roster {
	return &roster{direct: map[figbank.ProcessID]*joined{}, listed: map[figbank.Address]*listing{}}
}

// members maps all known processes by id. What is heard now goes before what a
// lost replica listed.
func (r *roster) members() map[string]*schema.Member {
	all := map[string]*schema.Member{}
	for _, lost := range []bool{true, false} {
		for _, list := range r.listed {
			if list.lost == lost {
				maps.Copy(all, list.members)
			}
		}
	}
	for id, subscriber := range r.direct {
		all[string(id)] = subscriber.member
	}
	return all
}

// forSubscriber maps what a subscriber needs to know of. Replicas hear from each
// replica which processes it feeds itself; the others hear all replicas and
// those of their own role from any replica.
func (r *roster) forSubscriber(role schema.MemberRole) map[string]*schema.Member {
	needed := map[string]*schema.Member{}
	if role == schema.MemberRole_MEMBER_ROLE_REPLICA {
		for id, subscriber := range r.direct {
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

// version changes whenever forSubscriber may.
func (r *roster) version(role schema.MemberRole) uint64 {
	if role == schema.MemberRole_MEMBER_ROLE_REPLICA {
		return r.joins
	}
	return r.changes
}

func (r *roster) join(member *schema.Member, stream *transport.Stream) {
	r.direct[figbank.ProcessID(member.GetId())] = &joined{member: member, stream: stream}
	r.changedDirect()
}

// part forgets a subscriber, unless it has already subscribed again.
func (r *roster) part(id figbank.ProcessID, stream *transport.Stream) {
	if subscriber, found := r.direct[id]; found && subscriber.stream == stream {
		delete(r.direct, id)
		r.changedDirect()
	}
}

// renew takes in what a subscriber says of itself now. It tells whether that is new.
func (r *roster) renew(member *schema.Member) bool {
	subscriber, found := r.direct[figbank.ProcessID(member.GetId())]
	if !found || sameMember(subscriber.member, member) {
		return false
	}
	subscriber.member = member
	r.changedDirect()
	return true
}

func (r *roster) changedDirect() {
	r.joins++
	r.changes++
}

// hear takes in what a replica lists anew. It tells whether anything changed.
func (r *roster) hear(from figbank.Address, update *schema.FeedUpdate) bool {
	list := r.listed[from]
	if list == nil {
		list = &listing{members: map[string]*schema.Member{}, lost: true}
		r.listed[from] = list
	}
	next := list.after(update)
	if !list.lost && maps.EqualFunc(list.members, next, sameMember) {
		return false
	}
	list.members, list.lost = next, false
	r.changes++
	return true
}

// after is what is listed after an update.
func (l *listing) after(update *schema.FeedUpdate) map[string]*schema.Member {
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

// lose notes that a replica does not feed this process any more. What it listed
// is dropped if others tell all that it told, else kept until it is heard again.
func (r *roster) lose(from figbank.Address, drop bool) {
	list, found := r.listed[from]
	if !found {
		return
	}
	list.lost = true
	if drop {
		delete(r.listed, from)
	}
	r.changes++
}

// difference fills in what a subscriber that was told some members has to hear
// to know the needed ones.
func difference(update *schema.FeedUpdate, told, needed map[string]*schema.Member) {
	for id, member := range needed {
		if known, found := told[id]; !found || !sameMember(known, member) {
			update.Members = append(update.Members, member)
		}
	}
	for id := range told {
		if _, found := needed[id]; !found {
			update.GoneMembers = append(update.GoneMembers, id)
		}
	}
	slices.SortFunc(update.Members, func(a, b *schema.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	slices.Sort(update.GoneMembers)
}

func sameMember(a, b *schema.Member) bool {
	return a.GetId() == b.GetId() && a.GetRole() == b.GetRole() && a.GetAddress() == b.GetAddress() &&
		a.GetReplicaId() == b.GetReplicaId() && a.GetLeaving() == b.GetLeaving()
}
