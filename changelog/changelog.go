// Package changelog remembers which records of a table changed last, so that finding what
// changed since an earlier revision costs as much as the changes, not as much as the table.
package changelog

import "slices"

// maxEntries bounds how many changes a log remembers. A reader that is further behind has to
// look at the whole table.
const maxEntries = 2048

type (
	// Revision is a position in the sequence of a table's changes. 0 is the empty table.
	Revision uint64

	// Log holds the keys of the newest changes, oldest first. The zero value is the log of an
	// empty table. It is not safe for concurrent use.
	Log[K comparable] struct {
		entries []entry[K]
		// forgotten is the revision of the newest change that the log no longer holds.
		forgotten Revision
	}

	entry[K comparable] struct {
		revision Revision
		key      K
	}
)

// Add records that the record with this key changed at a revision, which must be higher than
// those of all earlier changes.
func (l *Log[K]) Add(revision Revision, key K) {
	if len(l.entries) == maxEntries {
		oldest := maxEntries / 2
		l.forgotten = l.entries[oldest-1].revision
		l.entries = append(l.entries[:0], l.entries[oldest:]...)
	}
	l.entries = append(l.entries, entry[K]{revision: revision, key: key})
}

// Last returns the revision of the newest change.
func (l *Log[K]) Last() Revision {
	if len(l.entries) == 0 {
		return l.forgotten
	}
	return l.entries[len(l.entries)-1].revision
}

// Since returns the keys that changed after a revision, each once, in the order of their first
// change. It returns false if the log no longer holds all of them.
func (l *Log[K]) Since(revision Revision) ([]K, bool) {
	if revision < l.forgotten {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(l.entries, revision+1, func(e entry[K], want Revision) int {
		switch {
		case e.revision < want:
			return -1
		case e.revision > want:
			return 1
		}
		return 0
	})
	if first == len(l.entries) {
		return nil, true
	}
	seen := make(map[K]struct{}, len(l.entries)-first)
	keys := make([]K, 0, len(l.entries)-first)
	for _, e := range l.entries[first:] {
		if _, found := seen[e.key]; !found {
			seen[e.key] = struct{}{}
			keys = append(keys, e.key)
		}
	}
	return keys, true
}
