// Package wal keeps a replica's log on disk: one file of checksummed records,
// rewritten whole when a snapshot cuts it.
package wal

import (
	"encoding/binary"
	"hash/crc32"

	"figbank"
	"figbank/raft"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

const (
	logName  = "Log"
	nextName = "Log.Next"

	// A record is magic, payload length, checksum of those two and of the record's
	// place in the file, checksum of the payload (each 4 bytes, little-endian), then
	// the payload. The place keeps a record inside a payload from passing for one.
	magic        = 0x46424c31
	headerLength = 16
	maxRecord    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log appends records to one file. It is not safe for concurrent use. After a
// failed sync it refuses all further work, since the kernel may have dropped
// the pages that it could not write.
type Log struct {
	disk   figbank.Disk
	file   figbank.File
	size   int64
	failed error
}

// Open reads the log on disk. A torn record at the end is cut off; damage
// before the end fails with CorruptError.
func Open(disk figbank.Disk) (*Log, raft.Stored, error) {
	if err := disk.Remove(nextName); err != nil {
		return nil, raft.Stored{}, err
	}
	file, err := disk.Open(logName)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	content, err := file.ReadAll()
	if err != nil {
		return nil, raft.Stored{}, err
	}
	stored, whole, err := replay(content)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	log := &Log{disk: disk, file: file, size: int64(whole)}
	return log, stored, log.settle(int64(whole), int64(len(content)))
}

// Append writes and syncs what a replica must not forget.
func (l *Log) Append(state *schema.HardState, entries []*schema.Entry) error {
	if state == nil && len(entries) == 0 {
		return l.failed
	}
	return l.write(l.file, &schema.WalRecord{HardState: state, Entries: entries})
}

// Rewrite replaces the log by a snapshot and the entries after it.
func (l *Log) Rewrite(state *schema.HardState, snapshot *schema.Snapshot, entries []*schema.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	next, err := l.disk.Open(nextName)
	if err != nil {
		return l.fail(err)
	}
	l.size = 0
	if err := l.write(next, &schema.WalRecord{HardState: state, Snapshot: snapshot, Entries: entries}); err != nil {
		return err
	}
	if err := l.disk.Rename(nextName, logName); err != nil {
		return l.fail(err)
	}
	if err := l.disk.SyncFolder(); err != nil {
		return l.fail(err)
	}
	_ = l.file.Close()
	l.file = next
	return nil
}

// Close closes the file; all that was appended is already synced.
func (l *Log) Close() error {
	return l.file.Close()
}

func (l *Log) settle(whole, length int64) error {
	if whole < length {
		if err := l.file.Truncate(whole); err != nil {
			return err
		}
	}
	if err := l.file.Sync(); err != nil {
		return figbank.Fail("wal", "Sync", err)
	}
	return l.disk.SyncFolder()
}

func (l *Log) write(file figbank.File, record *schema.WalRecord) error {
	if l.failed != nil {
		return l.failed
	}
	encoded, err := encode(l.size, record)
	if err != nil {
		return l.fail(err)
	}
	if _, err := file.Write(encoded); err != nil {
		return l.fail(figbank.Fail("wal", "Write", err))
	}
	if err := file.Sync(); err != nil {
		return l.fail(figbank.Fail("wal", "Sync", err))
	}
	l.size += int64(len(encoded))
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

func encode(place int64, record *schema.WalRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return nil, figbank.Fail("wal", "Marshal", err)
	}
	if len(payload) > maxRecord {
		return nil, figbank.InvalidError{Subject: "log record", Detail: "longer than 64 MiB"}
	}
	buffer := make([]byte, 0, headerLength+len(payload))
	buffer = binary.LittleEndian.AppendUint32(buffer, magic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload))) //nolint:gosec // checked above
	buffer = binary.LittleEndian.AppendUint32(buffer, headerChecksum(buffer, place))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...), nil
}

// headerChecksum covers the first 8 bytes of a header and the record's place.
func headerChecksum(header []byte, place int64) uint32 {
	covered := binary.LittleEndian.AppendUint64(append([]byte(nil), header[:8]...), uint64(place)) //nolint:gosec // bit pattern only
	return crc32.Checksum(covered, castagnoli)
}
