package fake

import (
	"maps"
	"slices"
	"sync"

	"figbank"
)

type (
	// Disk is a disk in memory that can lose what was not synced.
	Disk struct {
		mu sync.Mutex
		// files are what a process sees; durable what a crash leaves. Names map to
		// contents that renames share.
		files   map[string]*content
		durable map[string]*content
		// failSync makes every sync from now on fail.
		failSync bool
	}

	content struct {
		bytes  []byte
		synced []byte
	}

	diskFile struct {
		disk    *Disk
		content *content
	}

	// SyncError is a sync that failed.
	SyncError struct{}
)

// Error says so.
func (SyncError) Error() string { return "sync failed" }

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{files: map[string]*content{}, durable: map[string]*content{}}
}

// Crash loses what was not synced, but for the first kept bytes of each file's
// unsynced end: a torn write.
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

// Damage flips one byte of a file.
func (d *Disk) Damage(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].bytes[at] ^= 0xff
}

// Size is a file's length.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, found := d.files[name]; found {
		return len(c.bytes)
	}
	return 0
}

// FailSyncs makes every sync from now on fail.
func (d *Disk) FailSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = true
}

// HealSyncs ends FailSyncs.
func (d *Disk) HealSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = false
}

// Open opens a file, creating it if absent.
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

// Rename replaces newName by oldName.
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

// SyncFolder makes creations, renames and removals durable.
func (d *Disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSync {
		return SyncError{}
	}
	d.durable = maps.Clone(d.files)
	return nil
}

// Write appends.
func (f *diskFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.content.bytes = append(f.content.bytes, p...)
	return len(p), nil
}

// ReadAll returns the whole content.
func (f *diskFile) ReadAll() ([]byte, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return slices.Clone(f.content.bytes), nil
}

// Truncate cuts the file.
func (f *diskFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.content.bytes = slices.Clone(f.content.bytes[:size])
	return nil
}

// Sync makes the content durable.
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
