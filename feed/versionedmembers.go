package feed

import (
	"figbank/changelog"
	"figbank/schema"
)

// versionedMembers is a list of members for one kind of reader, with a log of its changes. It is not safe
// for concurrent use.
type versionedMembers struct {
	members  map[string]*schema.Member
	revision changelog.Revision
	changes  changelog.Log[string]
}

func newVersionedMembers() *versionedMembers {
	return &versionedMembers{members: map[string]*schema.Member{}}
}

// set stores a member under an id, or removes it if member is nil. It reports whether the
// list changed.
func (r *versionedMembers) set(id string, member *schema.Member) bool {
	known, found := r.members[id]
	switch {
	case member == nil && !found, member != nil && found && sameMember(known, member):
		return false
	case member == nil:
		delete(r.members, id)
	default:
		r.members[id] = member
	}
	r.revision++
	r.changes.Add(r.revision, id)
	return true
}

// fill adds to update what has changed since a revision: the whole list for a reader that has
// none yet, or is too far behind.
func (r *versionedMembers) fill(update *schema.FeedUpdate, since changelog.Revision, first bool) {
	ids, complete := r.changes.Since(since)
	if first || !complete {
		update.AllMembers = true
		for _, member := range r.members {
			update.Members = append(update.Members, member)
		}
		return
	}
	for _, id := range ids {
		if member, found := r.members[id]; found {
			update.Members = append(update.Members, member)
		} else {
			update.GoneMembers = append(update.GoneMembers, id)
		}
	}
}
