package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"figbank"
	"figbank/raft"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// replay reads all records and returns the state they lead to, and the length
// of the part that is whole.
func replay(content []byte) (stored raft.Stored, whole int, err error) {
	for whole < len(content) {
		record, length, ok := decode(content, whole)
		if !ok {
			break
		}
		if err := apply(&stored, record); err != nil {
			return raft.Stored{}, 0, err
		}
		whole += length
	}
	if at, found := findRecord(content, whole+1); found {
		detail := fmt.Sprintf("record at byte %d fails its check, but one at byte %d is whole", whole, at)
		return raft.Stored{}, 0, figbank.CorruptError{Subject: "replicated log on disk", Detail: detail}
	}
	return stored, whole, nil
}

// decode reads the record at place.
func decode(file []byte, place int) (record *schema.WalRecord, length int, ok bool) {
	content := file[place:]
	if len(content) < headerLength || binary.LittleEndian.Uint32(content) != magic {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(content[4:]))
	if binary.LittleEndian.Uint32(content[8:]) != headerChecksum(content, int64(place)) {
		return nil, 0, false
	}
	if size > maxRecord || len(content) < headerLength+size {
		return nil, 0, false
	}
	payload := content[headerLength : headerLength+size]
	if binary.LittleEndian.Uint32(content[12:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0, false
	}
	record = &schema.WalRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return nil, 0, false
	}
	return record, headerLength + size, true
}

// findRecord looks for a whole record at or after start. A torn write leaves
// none behind it; damage in the middle does.
func findRecord(content []byte, start int) (int, bool) {
	for at := start; at+headerLength <= len(content); at++ {
		if _, _, ok := decode(content, at); ok {
			return at, true
		}
	}
	return 0, false
}

func apply(stored *raft.Stored, record *schema.WalRecord) error {
	if record.GetHardState() != nil {
		stored.HardState = record.GetHardState()
	}
	if record.GetSnapshot() != nil {
		stored.Snapshot = record.GetSnapshot()
		stored.Entries = nil
	}
	for _, entry := range record.GetEntries() {
		if err := applyEntry(stored, entry); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry appends an entry; one at an index that is already there replaces
// it and all after it, as the leader of a later term asked.
func applyEntry(stored *raft.Stored, entry *schema.Entry) error {
	base := stored.Snapshot.GetIndex()
	next := base + uint64(len(stored.Entries)) + 1
	if entry.GetIndex() <= base || entry.GetIndex() > next {
		detail := fmt.Sprintf("entry %d does not follow entry %d", entry.GetIndex(), next-1)
		return figbank.CorruptError{Subject: "replicated log on disk", Detail: detail}
	}
	stored.Entries = append(stored.Entries[:entry.GetIndex()-base-1], entry)
	return nil
}
