// Package wal stores a replica's log on disk, in one file of checksummed records. When a snapshot
// replaces older entries, the whole file is rewritten.
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
	logName     = "Log"
	rewriteName = "Log.Next"

	// A record consists of four header fields of 4 bytes each (little-endian) and the payload. The
	// fields are: the magic number; the payload length; a checksum of these two fields and of the
	// record's offset in the file; a checksum of the payload. Since the offset is checksummed, the
	// bytes of a record inside a payload are not mistaken for a record of the file.
	magic        = 0x46424c31
	headerLength = 16
	// maxRecord limits the payload of a record, in bytes.
	maxRecord = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log appends records to one file. It is not safe for concurrent use. After a failed write or sync,
// all further ones fail too. A later sync could succeed although the kernel has dropped the pages
// that the failed one could not write.
type Log struct {
	disk   figbank.Disk
	file   figbank.File
	size   int64
	failed error
}

// Open reads the log on disk, or creates an empty one. It truncates a torn record at the end of the
// file. It returns a CorruptError if the file is damaged elsewhere.
func Open(disk figbank.Disk) (*Log, raft.PersistentState, error) {
	if err := disk.Remove(rewriteName); err != nil {
		return nil, raft.PersistentState{}, err
	}
	file, err := disk.Open(logName)
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	content, err := file.ReadAll()
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	stored, validLength, err := replay(content)
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	log := &Log{disk: disk, file: file, size: int64(validLength)}
	return log, stored, log.truncateAndSync(int64(validLength), int64(len(content)))
}

// Append writes a record with hard state and entries, and syncs it. It writes
// nothing if both are empty.
func (l *Log) Append(state *schema.HardState, entries []*schema.Entry) error {
	if state == nil && len(entries) == 0 {
		return l.failed
	}
	return l.write(l.file, &schema.WalRecord{HardState: state, Entries: entries})
}

// Rewrite replaces the log by a new file that holds the hard state, a snapshot and
// the entries after it. After a crash, the log is either the old file or the complete
// new one.
func (l *Log) Rewrite(state *schema.HardState, snapshot *schema.Snapshot, entries []*schema.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	next, err := l.disk.Open(rewriteName)
	if err != nil {
		return l.fail(err)
	}
	l.size = 0
	if err := l.write(next, &schema.WalRecord{HardState: state, Snapshot: snapshot, Entries: entries}); err != nil {
		return err
	}
	if err := l.disk.Rename(rewriteName, logName); err != nil {
		return l.fail(err)
	}
	if err := l.disk.SyncFolder(); err != nil {
		return l.fail(err)
	}
	_ = l.file.Close()
	l.file = next
	return nil
}

// Close closes the file. Everything that was appended is already synced.
func (l *Log) Close() error {
	return l.file.Close()
}

// truncateAndSync truncates a file of the given length to its valid part, and syncs
// the file and its folder.
func (l *Log) truncateAndSync(validLength, length int64) error {
	if validLength < length {
		if err := l.file.Truncate(validLength); err != nil {
			return err
		}
	}
	if err := l.file.Sync(); err != nil {
		return figbank.WrapError("wal", "Sync", err)
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
		return l.fail(figbank.WrapError("wal", "Write", err))
	}
	if err := file.Sync(); err != nil {
		return l.fail(figbank.WrapError("wal", "Sync", err))
	}
	l.size += int64(len(encoded))
	return nil
}

// fail records and returns the error that all further writes return.
func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

func encode(offset int64, record *schema.WalRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return nil, figbank.WrapError("wal", "Marshal", err)
	}
	if len(payload) > maxRecord {
		return nil, figbank.InvalidError{Subject: "log record", Detail: "longer than 64 MiB"}
	}
	buffer := make([]byte, 0, headerLength+len(payload))
	buffer = binary.LittleEndian.AppendUint32(buffer, magic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload))) //nolint:gosec // checked above
	buffer = binary.LittleEndian.AppendUint32(buffer, headerChecksum(buffer, offset))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...), nil
}

// headerChecksum covers the first 8 bytes of a header and the record's offset in the
// file.
func headerChecksum(header []byte, offset int64) uint32 {
	covered := binary.LittleEndian.AppendUint64(append([]byte(nil), header[:8]...), uint64(offset)) //nolint:gosec // bit pattern only
	return crc32.Checksum(covered, castagnoli)
}
