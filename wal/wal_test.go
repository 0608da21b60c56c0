package wal

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"figbank"
	"figbank/fake"
	"figbank/raft"
	"figbank/schema"
)

func entries(first, last, term uint64) []*schema.Entry {
	var list []*schema.Entry
	for index := first; index <= last; index++ {
		list = append(list, &schema.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", index, term)})
	}
	return list
}

func mustOpen(t testing.TB, disk figbank.Disk) (*Log, raft.PersistentState) {
	t.Helper()
	log, stored, err := Open(disk)
	if err != nil {
		t.Fatalf("Open() = %v", err)
	}
	return log, stored
}

func lastOf(stored raft.PersistentState) uint64 {
	return stored.Snapshot.GetIndex() + uint64(len(stored.Entries))
}

func TestLogSurvivesCrash(t *testing.T) {
	scenarios := []struct {
		name     string
		write    func(*Log) error
		torn     int
		wantLast uint64
		wantTerm uint64
	}{
		{
			name:     "keeps appended entries",
			write:    func(l *Log) error { return l.Append(&schema.HardState{Term: 2}, entries(1, 5, 2)) },
			wantLast: 5, wantTerm: 2,
		},
		{
			name: "replaces entries of an earlier term",
			write: func(l *Log) error {
				return errors.Join(l.Append(&schema.HardState{Term: 1}, entries(1, 5, 1)), l.Append(&schema.HardState{Term: 2}, entries(3, 3, 2)))
			},
			wantLast: 3, wantTerm: 2,
		},
		{
			name: "starts from a snapshot after a rewrite",
			write: func(l *Log) error {
				return errors.Join(l.Append(nil, entries(1, 9, 1)),
					l.Rewrite(&schema.HardState{Term: 1}, &schema.Snapshot{Index: 7, Term: 1, State: []byte("s")}, entries(8, 9, 1)),
					l.Append(nil, entries(10, 11, 1)))
			},
			wantLast: 11, wantTerm: 1,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			disk := fake.NewDisk()
			log, _ := mustOpen(t, disk)
			if err := s.write(log); err != nil {
				t.Fatalf("write = %v", err)
			}
			disk.Crash(0)
			_, stored := mustOpen(t, disk)
			if got := lastOf(stored); got != s.wantLast {
				t.Errorf("last index = %d, want %d", got, s.wantLast)
			}
			if got := stored.HardState.GetTerm(); got != s.wantTerm {
				t.Errorf("term = %d, want %d", got, s.wantTerm)
			}
		})
	}
}

func TestOpenTruncatesTornRecord(t *testing.T) {
	// The second append is never synced. Whatever part of it reaches the disk, Open must
	// return the entries of the first append.
	for torn := range 80 {
		disk := fake.NewDisk()
		log, _ := mustOpen(t, disk)
		if err := log.Append(&schema.HardState{Term: 1}, entries(1, 3, 1)); err != nil {
			t.Fatalf("Append() = %v", err)
		}
		encoded, err := encode(log.size, &schema.WalRecord{Entries: entries(4, 6, 1)})
		if err != nil {
			t.Fatalf("encode() = %v", err)
		}
		if _, err := log.file.Write(encoded); err != nil {
			t.Fatalf("Write() = %v", err)
		}
		disk.Crash(min(torn, len(encoded)-1))
		log, stored := mustOpen(t, disk)
		if got := lastOf(stored); got != 3 {
			t.Fatalf("torn at %d: last index = %d, want 3", torn, got)
		}
		if err := log.Append(nil, entries(4, 4, 1)); err != nil {
			t.Fatalf("Append() after the torn record was truncated = %v", err)
		}
		disk.Crash(0)
		if _, stored := mustOpen(t, disk); lastOf(stored) != 4 {
			t.Fatalf("torn at %d: last index after a further append = %d, want 4", torn, lastOf(stored))
		}
	}
}

func TestOpenFailsOnCorruption(t *testing.T) {
	disk := fake.NewDisk()
	log, _ := mustOpen(t, disk)
	if err := log.Append(nil, entries(1, 3, 1)); err != nil {
		t.Fatalf("Append() = %v", err)
	}
	first := disk.Size(logName)
	if err := log.Append(nil, entries(4, 6, 1)); err != nil {
		t.Fatalf("Append() = %v", err)
	}
	for at := range first {
		disk.CorruptByte(logName, at)
		_, _, err := Open(disk)
		if !errors.As(err, new(figbank.CorruptError)) {
			t.Fatalf("Open() with byte %d damaged = %v, want CorruptError", at, err)
		}
		disk.CorruptByte(logName, at)
	}
}

func TestAppendFailsAfterFailedSync(t *testing.T) {
	disk := fake.NewDisk()
	log, _ := mustOpen(t, disk)
	disk.FailSyncs()
	for range 2 {
		if err := log.Append(nil, entries(1, 1, 1)); !errors.As(err, new(fake.SyncError)) {
			t.Errorf("Append() = %v, want SyncError", err)
		}
	}
}

// TestLogAgainstList applies random appends and rewrites to a log and to a plain list.
// After each crash, the reopened log must hold what the list holds.
func TestLogAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := fake.NewDisk()
		log, _, err := Open(disk)
		if err != nil {
			t.Fatalf("Open() = %v", err)
		}
		var want []*schema.Entry
		base, term := uint64(0), uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				last := base + uint64(len(want))
				first := rapid.Uint64Range(base+1, last+1).Draw(t, "first")
				term++
				added := entries(first, first+rapid.Uint64Range(0, 4).Draw(t, "more"), term)
				if err := log.Append(&schema.HardState{Term: term}, added); err != nil {
					t.Fatalf("Append() = %v", err)
				}
				want = append(want[:first-base-1:first-base-1], added...)
			},
			"rewrite": func(t *rapid.T) {
				at := rapid.Uint64Range(base, base+uint64(len(want))).Draw(t, "at")
				if at == 0 {
					return
				}
				want, base = want[at-base:], at
				if err := log.Rewrite(&schema.HardState{Term: term}, &schema.Snapshot{Index: base, Term: 1}, want); err != nil {
					t.Fatalf("Rewrite() = %v", err)
				}
			},
			"crash": func(t *rapid.T) {
				disk.Crash(0)
				reopened, stored, err := Open(disk)
				if err != nil {
					t.Fatalf("Open() = %v", err)
				}
				log = reopened
				checkStored(t, stored, base, want)
			},
		})
	})
}

func checkStored(t *rapid.T, stored raft.PersistentState, base uint64, want []*schema.Entry) {
	if got := stored.Snapshot.GetIndex(); got != base {
		t.Fatalf("snapshot index = %d, want %d", got, base)
	}
	if len(stored.Entries) != len(want) {
		t.Fatalf("entries = %d, want %d", len(stored.Entries), len(want))
	}
	for i := range want {
		if !proto.Equal(stored.Entries[i], want[i]) {
			t.Fatalf("entry = %v, want %v", stored.Entries[i], want[i])
		}
	}
}

func FuzzReplay(f *testing.F) {
	record, _ := encode(0, &schema.WalRecord{HardState: &schema.HardState{Term: 3}, Entries: entries(1, 3, 3)})
	f.Add(record)
	f.Add(record[:20])
	f.Add(bytes.Repeat(record, 2))
	f.Fuzz(func(t *testing.T, content []byte) {
		stored, validLength, err := replay(content)
		if err == nil && validLength > len(content) {
			t.Errorf("valid length = %d of %d bytes", validLength, len(content))
		}
		for i, entry := range stored.Entries {
			if want := stored.Snapshot.GetIndex() + uint64(i) + 1; entry.GetIndex() != want {
				t.Errorf("entry index = %d, want %d", entry.GetIndex(), want)
			}
		}
	})
}
