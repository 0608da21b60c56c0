// Package disk implements figbank.Disk with a folder of the file system.
package disk

import (
	"io"
	"os"
	"path/filepath"

	"figbank"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

type (
	// Folder is a folder of the file system that implements figbank.Disk.
	Folder struct {
		path string
	}

	file struct {
		*os.File
	}
)

// OpenFolder returns the folder at path. It creates the folder if it does not exist.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, figbank.WrapError("disk", "OpenFolder", err, "path", path)
	}
	return &Folder{path: path}, nil
}

// Open opens a file for reading and appending. It creates the file if it does not exist.
func (f *Folder) Open(name string) (figbank.File, error) {
	path := filepath.Join(f.path, name)
	opened, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode) //nolint:gosec // names are constants of figbank
	if err != nil {
		return nil, figbank.WrapError("disk", "Open", err, "path", path)
	}
	return &file{File: opened}, nil
}

// Rename renames the file oldName to newName. It replaces a file of that name.
func (f *Folder) Rename(oldName, newName string) error {
	err := os.Rename(filepath.Join(f.path, oldName), filepath.Join(f.path, newName))
	return figbank.WrapError("disk", "Rename", err, "from", oldName, "to", newName)
}

// Remove deletes a file. It is not an error if the file does not exist.
func (f *Folder) Remove(name string) error {
	err := os.Remove(filepath.Join(f.path, name))
	if os.IsNotExist(err) {
		return nil
	}
	return figbank.WrapError("disk", "Remove", err, "name", name)
}

// SyncFolder makes earlier creations, renames and removals of files durable.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return figbank.WrapError("disk", "SyncFolder", err, "path", f.path)
	}
	defer folder.Close()
	return figbank.WrapError("disk", "SyncFolder", folder.Sync(), "path", f.path)
}

// ReadAll returns the whole content of the file.
func (f *file) ReadAll() ([]byte, error) {
	info, err := f.Stat()
	if err != nil {
		return nil, figbank.WrapError("disk", "ReadAll", err)
	}
	content := make([]byte, info.Size())
	if _, err := io.ReadFull(io.NewSectionReader(f.File, 0, info.Size()), content); err != nil {
		return nil, figbank.WrapError("disk", "ReadAll", err)
	}
	return content, nil
}
