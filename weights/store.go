package weights

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"figbank"
	"figbank/schema"

	"golang.org/x/sys/unix"
)

const (
	manifestSuffix = ".Manifest"
	partialSuffix  = ".Partial"
	folderMode     = 0o755
	fileMode       = 0o644
	executableMode = 0o755
)

type (
	// Store holds versions of weights in one folder. Each complete version has a subfolder,
	// whose name is the hex digits of the version's digest. The manifest is a file next to the
	// subfolder, with the same name and the suffix ".Manifest". While a version is being
	// fetched, its subfolder has the suffix ".Partial". Store is safe for concurrent use.
	Store struct {
		folder string
		// volatile is set if the folder is not needed after the process ends. Then nothing
		// is synced, no manifest is written, and the subfolder of a complete version keeps
		// the suffix ".Partial".
		volatile bool

		mu       sync.Mutex
		complete map[figbank.ManifestDigest]*Version
	}

	// Option configures a Store when it is opened.
	Option func(*Store)

	// Version describes a version of weights and the folder that holds it.
	Version struct {
		Digest   figbank.ManifestDigest
		Manifest *schema.Manifest
		// Content is the manifest's bytes, which peers request.
		Content []byte
		Folder  string
		// verified is set once this process has verified every chunk.
		verified bool
	}
)

// WithoutSync makes a store that syncs nothing to disk. It is for a folder that is not needed after
// the process ends.
func WithoutSync() Option {
	return func(s *Store) { s.volatile = true }
}

// OpenStore opens the store in a folder, which it creates if necessary, and loads the
// manifests of the complete versions.
func OpenStore(folder string, options ...Option) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, figbank.WrapError("weights", "OpenStore", err, "folder", folder)
	}
	store := &Store{folder: folder, complete: map[figbank.ManifestDigest]*Version{}}
	for _, option := range options {
		option(store)
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, figbank.WrapError("weights", "OpenStore", err, "folder", folder)
	}
	for _, entry := range entries {
		if entry.IsDir() && !strings.HasSuffix(entry.Name(), partialSuffix) {
			store.loadVersion(figbank.ManifestDigest(digestPrefix + entry.Name()))
		}
	}
	return store, nil
}

// Version returns a version that is complete on this host, or nil.
func (s *Store) Version(digest figbank.ManifestDigest) *Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete[digest]
}

// Verify reads a complete version from disk and verifies every chunk. It does nothing if this
// process has verified the version before. If a chunk is corrupt, Verify returns a CorruptError and
// the version no longer counts as complete. Its other chunks stay on disk for the next transfer.
func (s *Store) Verify(version *Version) error {
	if version.verified {
		return nil
	}
	for i := range version.Manifest.GetChunks() {
		err := version.verifyChunk(figbank.ChunkIndex(i))
		if err == nil {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.complete, version.Digest)
		if renameErr := os.Rename(version.Folder, version.Folder+partialSuffix); renameErr != nil {
			return figbank.WrapError("weights", "Verify", renameErr)
		}
		return err
	}
	version.verified = true
	return nil
}

// Versions lists the versions that are complete on this host.
func (s *Store) Versions() []*Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]*Version, 0, len(s.complete))
	for _, version := range s.complete {
		versions = append(versions, version)
	}
	return versions
}

// Retain removes the complete versions whose digests are not in named, but keeps the newest of them
// by the modification time of their folders. keepUnnamed is how many it keeps. Retain also removes
// incomplete versions that are not in named, except in a store opened with WithoutSync.
func (s *Store) Retain(named []figbank.ManifestDigest, keepUnnamed int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removable []*Version
	for digest, version := range s.complete {
		if !slices.Contains(named, digest) {
			removable = append(removable, version)
		}
	}
	slices.SortFunc(removable, func(a, b *Version) int { return modTime(b.Folder).Compare(modTime(a.Folder)) })
	for i, version := range removable {
		if i < keepUnnamed {
			continue
		}
		delete(s.complete, version.Digest)
		if err := s.remove(version.Folder); err != nil {
			return err
		}
	}
	return s.removePartials(named)
}

// ReadChunk returns a chunk's bytes. The caller verifies them.
func (v *Version) ReadChunk(index figbank.ChunkIndex) ([]byte, error) {
	if int(index) >= len(v.Manifest.GetChunks()) {
		return nil, figbank.ProtocolError{Detail: "chunk index out of range"}
	}
	return readSpans(v.Folder, v.Manifest, v.Manifest.GetChunks()[index])
}

func (v *Version) verifyChunk(index figbank.ChunkIndex) error {
	content, err := v.ReadChunk(index)
	if err != nil || !matchesDigest(v.Manifest.GetChunks()[index], content) {
		return figbank.CorruptError{Subject: fmt.Sprintf("chunk %d", index), Detail: "bytes on disk do not match the manifest"}
	}
	return nil
}

// loadVersion adds a version to the complete ones, unless its manifest is missing or
// invalid.
func (s *Store) loadVersion(digest figbank.ManifestDigest) {
	content, err := os.ReadFile(s.path(digest) + manifestSuffix)
	if err != nil {
		return
	}
	manifest, err := Parse(content, digest)
	if err != nil {
		return
	}
	s.complete[digest] = &Version{Digest: digest, Manifest: manifest, Content: content, Folder: s.path(digest)}
}

func (s *Store) path(digest figbank.ManifestDigest) string {
	return filepath.Join(s.folder, strings.TrimPrefix(string(digest), digestPrefix))
}

func (s *Store) remove(folder string) error {
	if s.volatile {
		return figbank.WrapError("weights", "Remove", os.RemoveAll(folder), "folder", folder)
	}
	_ = os.Remove(folder + manifestSuffix)
	// The folder is renamed before its files are removed, so that a folder that is only
	// partly removed does not count as complete.
	if err := os.Rename(folder, folder+partialSuffix); err != nil {
		return figbank.WrapError("weights", "Remove", err, "folder", folder)
	}
	return figbank.WrapError("weights", "Remove", os.RemoveAll(folder+partialSuffix), "folder", folder)
}

func (s *Store) removePartials(named []figbank.ManifestDigest) error {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return figbank.WrapError("weights", "Retain", err)
	}
	for _, entry := range entries {
		if s.volatile {
			break // complete versions have the suffix too
		}
		name, partial := strings.CutSuffix(entry.Name(), partialSuffix)
		if !partial || slices.Contains(named, figbank.ManifestDigest(digestPrefix+name)) {
			continue
		}
		if err := os.RemoveAll(filepath.Join(s.folder, entry.Name())); err != nil {
			return figbank.WrapError("weights", "Retain", err)
		}
	}
	return nil
}

// syncAll makes everything on the store's file system durable. One call for the file system
// replaces a call for each of thousands of files.
func (s *Store) syncAll() error {
	if s.volatile {
		return nil
	}
	folder, err := os.Open(s.folder)
	if err != nil {
		return figbank.WrapError("weights", "Sync", err)
	}
	defer folder.Close()
	return figbank.WrapError("weights", "Sync", unix.Syncfs(int(folder.Fd())))
}
