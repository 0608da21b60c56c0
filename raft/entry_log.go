package raft

import (
	"slices"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// entryLog holds a snapshot and the entries that follow it.
type entryLog struct {
	snapshot *schema.Snapshot
	entries  []*schema.Entry
	// initial is the membership before any entry or snapshot sets another one.
	initial *schema.Membership
	// members is the newest membership in the log. membersIndex is the index of the entry or
	// snapshot that sets it, or 0 if members is initial.
	members      *schema.Membership
	membersIndex uint64
}

func newEntryLog(initial *schema.Membership, snapshot *schema.Snapshot, entries []*schema.Entry) entryLog {
	l := entryLog{initial: initial, snapshot: snapshot, entries: entries}
	l.updateMembership()
	return l
}

// updateMembership sets members and membersIndex to the newest membership in the log.
func (l *entryLog) updateMembership() {
	l.members, l.membersIndex = l.membershipBefore(l.last() + 1)
}

// membershipAt returns the membership in force at an index.
func (l *entryLog) membershipAt(index uint64) *schema.Membership {
	members, _ := l.membershipBefore(index + 1)
	return members
}

// membershipBefore returns the newest membership set before an index. It also returns the index of
// the entry or snapshot that sets that membership, or 0 for the initial one.
func (l *entryLog) membershipBefore(index uint64) (*schema.Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.GetIndex() < index && entry.GetMembership() != nil {
			return entry.GetMembership(), entry.GetIndex()
		}
	}
	if l.snapshot.GetMembership() != nil {
		return l.snapshot.GetMembership(), l.snapshot.GetIndex()
	}
	return l.initial, 0
}

// last returns the index of the last entry, or the snapshot's if no entry follows it.
func (l *entryLog) last() uint64 {
	return l.snapshot.GetIndex() + uint64(len(l.entries))
}

// termAt returns the term of the entry at an index. If the index is the last one that the snapshot
// covers, it returns the term of the snapshot. It returns false if the log contains neither.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	base := l.snapshot.GetIndex()
	if index == base {
		return l.snapshot.GetTerm(), true
	}
	if index < base || index > l.last() {
		return 0, false
	}
	return l.entries[index-base-1].GetTerm(), true
}

// slice returns a copy of the list of entries from first to last, both inclusive.
func (l *entryLog) slice(first, last uint64) []*schema.Entry {
	base := l.snapshot.GetIndex()
	return slices.Clone(l.entries[first-base-1 : last-base])
}

// batch returns entries starting at first, of at most limit bytes in total. If the entry at first
// is larger than limit, batch returns that entry alone.
func (l *entryLog) batch(first uint64, limit figbank.Bytes) []*schema.Entry {
	if first > l.last() {
		return nil
	}
	entries := l.slice(first, l.last())
	var size figbank.Bytes
	for i, entry := range entries {
		size += figbank.Bytes(proto.Size(entry))
		if size > limit && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (l *entryLog) append(entries ...*schema.Entry) {
	l.entries = append(l.entries, entries...)
	for _, entry := range entries {
		if entry.GetMembership() != nil {
			l.members, l.membersIndex = entry.GetMembership(), entry.GetIndex()
		}
	}
}

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	base := l.snapshot.GetIndex()
	if index <= l.last() {
		l.entries = slices.Clone(l.entries[:index-base-1])
		l.updateMembership()
	}
}

// compact replaces the entries up to the snapshot's index by the snapshot. It does
// nothing if the log's own snapshot is at least as new.
func (l *entryLog) compact(snapshot *schema.Snapshot) {
	if snapshot.GetIndex() <= l.snapshot.GetIndex() {
		return
	}
	l.entries = slices.Clone(l.entries[snapshot.GetIndex()-l.snapshot.GetIndex():])
	l.snapshot = snapshot
	l.updateMembership()
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(snapshot *schema.Snapshot) {
	l.entries = nil
	l.snapshot = snapshot
	l.updateMembership()
}
