package fake

import (
	"syscall"

	"figbank"
)

type (
	// FullDisk is a disk that takes no more bytes while full returns true. Of a write that fails, the first
	// half reaches the file.
	FullDisk struct {
		figbank.Disk
		full func() bool
	}

	fullFile struct {
		figbank.File
		full func() bool
	}
)

// NewFullDisk returns a disk that stores on another one while full returns false.
func NewFullDisk(disk figbank.Disk, full func() bool) *FullDisk {
	return &FullDisk{Disk: disk, full: full}
}

// Open opens a file, also while the disk is full.
func (d *FullDisk) Open(name string) (figbank.File, error) {
	file, err := d.Disk.Open(name)
	if err != nil {
		return nil, err
	}
	return &fullFile{File: file, full: d.full}, nil
}

// Write returns ENOSPC while the disk is full.
func (f *fullFile) Write(data []byte) (int, error) {
	if !f.full() {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}
