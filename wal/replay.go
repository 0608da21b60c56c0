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

// replay decodes all records in content. It returns the state that results from them, and the
// length of the file without a torn record at its end. It returns a CorruptError if an intact
// record follows an invalid one, or if an entry does not follow the previous entry.
func replay(content []byte) (stored raft.PersistentState, validLength int, err error) {
	for validLength < len(content) {
		record, length, ok := decode(content, validLength)
		if !ok {
			break
		}
		if err := apply(&stored, record); err != nil {
			return raft.PersistentState{}, 0, err
		}
		validLength += length
	}
	if at, found := findRecord(content, validLength+1); found {
		detail := fmt.Sprintf("record at byte %d is corrupt, but a later record at byte %d is intact", validLength, at)
		return raft.PersistentState{}, 0, figbank.CorruptError{Subject: "replicated log on disk", Detail: detail}
	}
	return stored, validLength, nil
}

// decode decodes the record at an offset of the file. It returns false if there is
// no complete record with valid checksums.
func decode(file []byte, offset int) (record *schema.WalRecord, length int, ok bool) {
	content := file[offset:]
	if len(content) < headerLength || binary.LittleEndian.Uint32(content) != magic {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(content[4:]))
	if binary.LittleEndian.Uint32(content[8:]) != headerChecksum(content, int64(offset)) {
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

// findRecord returns the offset of the first intact record at or after start. No
// record follows a torn write, so an intact record after an invalid one shows that
// the file is damaged.
func findRecord(content []byte, start int) (int, bool) {
	for at := start; at+headerLength <= len(content); at++ {
		if _, _, ok := decode(content, at); ok {
			return at, true
		}
	}
	return 0, false
}

// apply applies a record's hard state, snapshot and entries, in this order.
func apply(stored *raft.PersistentState, record *schema.WalRecord) error {
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

// applyEntry appends an entry. If the log already has an entry at its index, that
// entry and all later ones are removed: the leader of a later term replaced them.
func applyEntry(stored *raft.PersistentState, entry *schema.Entry) error {
	base := stored.Snapshot.GetIndex()
	next := base + uint64(len(stored.Entries)) + 1
	if entry.GetIndex() <= base || entry.GetIndex() > next {
		detail := fmt.Sprintf("entry %d does not follow entry %d", entry.GetIndex(), next-1)
		return figbank.CorruptError{Subject: "replicated log on disk", Detail: detail}
	}
	stored.Entries = append(stored.Entries[:entry.GetIndex()-base-1], entry)
	return nil
}
