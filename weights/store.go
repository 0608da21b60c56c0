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
	// Store keeps versions of weights below one folder: a whole version is a
	// folder named by its digest, one in transfer has another suffix. It is safe
	// for concurrent use.
	Store struct {
		folder string
		// volatile stores do not outlive their process, so nothing is synced.
		volatile bool

		mu    sync.Mutex
		whole map[figbank.ManifestDigest]*Version
	}

	// Option changes a Store under construction.
	Option func(*Store)

	// Version is a whole version on disk.
	Version struct {
		Digest   figbank.ManifestDigest
		Manifest *schema.Manifest
		// Content is the manifest's bytes, for peers.
		Content []byte
		Folder  string
		// verified is set once this process has read and checked every chunk.
		verified bool
	}
)

// WithoutSync is for folders that do not outlive the process.
func WithoutSync() Option {
	return func(s *Store) { s.volatile = true }
}

// OpenStore reads which versions a folder holds.
func OpenStore(folder string, options ...Option) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, figbank.Fail("weights", "OpenStore", err, "folder", folder)
	}
	store := &Store{folder: folder, whole: map[figbank.ManifestDigest]*Version{}}
	for _, option := range options {
		option(store)
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, figbank.Fail("weights", "OpenStore", err, "folder", folder)
	}
	for _, entry := range entries {
		if entry.IsDir() && !strings.HasSuffix(entry.Name(), partialSuffix) {
			store.load(figbank.ManifestDigest(digestPrefix + entry.Name()))
		}
	}
	return store, nil
}

// Whole returns a version that is whole on this host, or nil.
func (s *Store) Whole(digest figbank.ManifestDigest) *Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole[digest]
}

// Verify reads a whole version and checks every chunk, unless this process has
// done so before. A version that fails is no longer whole: its good chunks stay
// for the next transfer.
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
		delete(s.whole, version.Digest)
		if renameErr := os.Rename(version.Folder, version.Folder+partialSuffix); renameErr != nil {
			return figbank.Fail("weights", "Verify", renameErr)
		}
		return err
	}
	version.verified = true
	return nil
}

// Versions lists what is whole on this host.
func (s *Store) Versions() []*Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]*Version, 0, len(s.whole))
	for _, version := range s.whole {
		versions = append(versions, version)
	}
	return versions
}

// Retain removes whole versions that are neither named nor among the newest
// spare ones, and transfers of other versions that were given up.
func (s *Store) Retain(named []figbank.ManifestDigest, spare int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removable []*Version
	for digest, version := range s.whole {
		if !slices.Contains(named, digest) {
			removable = append(removable, version)
		}
	}
	slices.SortFunc(removable, func(a, b *Version) int { return modTime(b.Folder).Compare(modTime(a.Folder)) })
	for i, version := range removable {
		if i < spare {
			continue
		}
		delete(s.whole, version.Digest)
		if err := s.remove(version.Folder); err != nil {
			return err
		}
	}
	return s.removePartials(named)
}

// ReadChunk returns a chunk's bytes. The reader verifies them.
func (v *Version) ReadChunk(index figbank.ChunkIndex) ([]byte, error) {
	if int(index) >= len(v.Manifest.GetChunks()) {
		return nil, figbank.ProtocolError{Detail: "chunk index out of range"}
	}
	return readSpans(v.Folder, v.Manifest, v.Manifest.GetChunks()[index])
}

func (v *Version) verifyChunk(index figbank.ChunkIndex) error {
	content, err := v.ReadChunk(index)
	if err != nil || !matches(v.Manifest.GetChunks()[index], content) {
		return figbank.CorruptError{Subject: fmt.Sprintf("chunk %d", index), Detail: "bytes on disk do not match the manifest"}
	}
	return nil
}

func (s *Store) load(digest figbank.ManifestDigest) {
	content, err := os.ReadFile(s.path(digest) + manifestSuffix)
	if err != nil {
		return
	}
	manifest, err := Parse(content, digest)
	if err != nil {
		return
	}
	s.whole[digest] = &Version{Digest: digest, Manifest: manifest, Content: content, Folder: s.path(digest)}
}

func (s *Store) path(digest figbank.ManifestDigest) string {
	return filepath.Join(s.folder, strings.TrimPrefix(string(digest), digestPrefix))
}

func (s *Store) remove(folder string) error {
	if s.volatile {
		return figbank.Fail("weights", "Remove", os.RemoveAll(folder), "folder", folder)
	}
	_ = os.Remove(folder + manifestSuffix)
	// A half-removed folder must not pass for a whole one.
	if err := os.Rename(folder, folder+partialSuffix); err != nil {
		return figbank.Fail("weights", "Remove", err, "folder", folder)
	}
	return figbank.Fail("weights", "Remove", os.RemoveAll(folder+partialSuffix), "folder", folder)
}

func (s *Store) removePartials(named []figbank.ManifestDigest) error {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return figbank.Fail("weights", "Retain", err)
	}
	for _, entry := range entries {
		if s.volatile {
			break // whole versions keep the names of partial ones
		}
		name, partial := strings.CutSuffix(entry.Name(), partialSuffix)
		if !partial || slices.Contains(named, figbank.ManifestDigest(digestPrefix+name)) {
			continue
		}
		if err := os.RemoveAll(filepath.Join(s.folder, entry.Name())); err != nil {
			return figbank.Fail("weights", "Retain", err)
		}
	}
	return nil
}

// syncAll makes everything on the store's file system durable: one call in
// place of one for each of thousands of files.
func (s *Store) syncAll() error {
	if s.volatile {
		return nil
	}
	folder, err := os.Open(s.folder)
	if err != nil {
		return figbank.Fail("weights", "Sync", err)
	}
	defer folder.Close()
	return figbank.Fail("weights", "Sync", unix.Syncfs(int(folder.Fd())))
}
