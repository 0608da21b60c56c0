package fake

import (
	"maps"
	"slices"
	"sync"

	"figbank"
)

type (
	// Disk is an in-memory disk that can lose data that was not synced. It is safe for
	// concurrent use.
	Disk struct {
		mu sync.Mutex
		// files maps the names in the folder, as the process sees it, to the contents. A file that
		// is renamed keeps its content.
		files map[string]*content
		// durable is files as of the last SyncFolder. Only these names survive a crash.
		durable map[string]*content
		// failSync makes every sync fail while it is set.
		failSync bool
	}

	// content is the data of a file: its current bytes, and the bytes at the last sync, which
	// survive a crash.
	content struct {
		bytes  []byte
		synced []byte
	}

	diskFile struct {
		disk    *Disk
		content *content
	}

	// SyncError is the error of a sync that fails because of FailSyncs.
	SyncError struct{}
)

// Error implements error.
func (SyncError) Error() string { return "sync failed" }

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{files: map[string]*content{}, durable: map[string]*content{}}
}

// Crash simulates a crash of the host. All data that was not synced is lost, except that up to
// kept bytes after the synced part of each file remain, as after a torn write. Writes to files
// that were opened before the crash no longer reach the disk.
func (d *Disk) Crash(kept int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files = map[string]*content{}
	for name, c := range d.durable {
		torn := slices.Clone(c.synced)
		if rest := len(c.bytes) - len(c.synced); rest > 0 {
			torn = append(torn, c.bytes[len(c.synced):len(c.synced)+min(kept, rest)]...)
		}
		d.files[name] = &content{bytes: torn, synced: slices.Clone(torn)}
	}
	d.durable = maps.Clone(d.files)
}

// CorruptByte inverts the byte of a file at offset. The file must contain this byte. If the
// byte was synced before, a crash restores it unless the file has been synced again.
func (d *Disk) CorruptByte(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].bytes[offset] ^= 0xff
}

// Size returns the length of a file, or 0 if it does not exist.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, found := d.files[name]; found {
		return len(c.bytes)
	}
	return 0
}

// FailSyncs makes every sync fail until HealSyncs is called.
func (d *Disk) FailSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = true
}

// HealSyncs lets syncs succeed again after FailSyncs.
func (d *Disk) HealSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = false
}

// Open opens a file, and creates it if it does not exist.
func (d *Disk) Open(name string) (figbank.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, found := d.files[name]
	if !found {
		c = &content{}
		d.files[name] = c
	}
	return &diskFile{disk: d, content: c}, nil
}

// Rename renames oldName to newName and replaces an existing newName.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[newName] = d.files[oldName]
	delete(d.files, oldName)
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

// SyncFolder makes creations, renames and removals of files durable.
func (d *Disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSync {
		return SyncError{}
	}
	d.durable = maps.Clone(d.files)
	return nil
}

// Write appends to the file.
func (f *diskFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.content.bytes = append(f.content.bytes, p...)
	return len(p), nil
}

// ReadAll returns the whole content of the file.
func (f *diskFile) ReadAll() ([]byte, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return slices.Clone(f.content.bytes), nil
}

// Truncate shortens the file to size bytes.
func (f *diskFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.content.bytes = slices.Clone(f.content.bytes[:size])
	return nil
}

// Sync makes the content of the file durable.
func (f *diskFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failSync {
		return SyncError{}
	}
	f.content.synced = slices.Clone(f.content.bytes)
	return nil
}

// Close does nothing.
func (f *diskFile) Close() error { return nil }
