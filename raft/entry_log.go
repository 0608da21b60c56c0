package raft

import (
	"slices"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// entryLog is a snapshot followed by the entries after it.
type entryLog struct {
	snapshot *schema.Snapshot
	entries  []*schema.Entry
}

func newEntryLog(snapshot *schema.Snapshot, entries []*schema.Entry) entryLog {
	return entryLog{snapshot: snapshot, entries: entries}
}

func (l *entryLog) last() uint64 {
	return l.snapshot.GetIndex() + uint64(len(l.entries))
}

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

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []*schema.Entry {
	base := l.snapshot.GetIndex()
	return slices.Clone(l.entries[first-base-1 : last-base])
}

// batch returns entries from first on, up to limit bytes but at least one.
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
}

// truncate removes the entry at index and all after it.
func (l *entryLog) truncate(index uint64) {
	base := l.snapshot.GetIndex()
	if index <= l.last() {
		l.entries = slices.Clone(l.entries[:index-base-1])
	}
}

func (l *entryLog) compact(snapshot *schema.Snapshot) {
	if snapshot.GetIndex() <= l.snapshot.GetIndex() {
		return
	}
	l.entries = slices.Clone(l.entries[snapshot.GetIndex()-l.snapshot.GetIndex():])
	l.snapshot = snapshot
}

func (l *entryLog) reset(snapshot *schema.Snapshot) {
	l.entries = nil
	l.snapshot = snapshot
}
