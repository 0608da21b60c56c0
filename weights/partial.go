package weights

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"figbank"
	"figbank/schema"
)

// PartialVersion is a version that is being fetched, with the chunks that are already on disk. It
// is safe for concurrent use.
type PartialVersion struct {
	store   *Store
	version *Version

	mu    sync.Mutex
	have  []bool
	count int
}

// Begin starts or resumes the transfer of a version. content is the manifest's bytes. Begin
// verifies the chunks that are already on disk. It copies missing chunks from complete versions in
// the store, if these contain the same chunks.
func (s *Store) Begin(content []byte, digest figbank.ManifestDigest) (*PartialVersion, error) {
	manifest, err := Parse(content, digest)
	if err != nil {
		return nil, err
	}
	version := &Version{Digest: digest, Manifest: manifest, Content: content, Folder: s.path(digest) + partialSuffix}
	p := &PartialVersion{store: s, version: version, have: make([]bool, len(manifest.GetChunks()))}
	_, statErr := os.Stat(version.Folder)
	if err := p.createFiles(); err != nil {
		return nil, err
	}
	if statErr == nil {
		p.verifyExisting()
	}
	return p, p.copyShared()
}

// Version returns the version that is being fetched. Only chunks for which Has returns true can be
// read.
func (p *PartialVersion) Version() *Version {
	return p.version
}

// Has reports whether a chunk is on disk and verified.
func (p *PartialVersion) Has(index figbank.ChunkIndex) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(index) < len(p.have) && p.have[index]
}

// Held lists the chunks that are on disk and verified.
func (p *PartialVersion) Held() []figbank.ChunkIndex {
	p.mu.Lock()
	defer p.mu.Unlock()
	var held []figbank.ChunkIndex
	for i, has := range p.have {
		if has {
			held = append(held, figbank.ChunkIndex(i))
		}
	}
	return held
}

// Count returns the number of chunks that are on disk and verified.
func (p *PartialVersion) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Put verifies a chunk and writes it to disk. If the verification fails, Put writes nothing and
// returns a CorruptError. The bytes are durable only after Finalize.
func (p *PartialVersion) Put(index figbank.ChunkIndex, content []byte) error {
	chunk := p.version.Manifest.GetChunks()[index]
	if !matchesDigest(chunk, content) {
		return figbank.CorruptError{Subject: fmt.Sprintf("chunk %d", index), Detail: "SHA-256 does not match the manifest"}
	}
	for _, span := range chunk.GetSpans() {
		if err := p.writeSpan(span, content[:span.GetLength()]); err != nil {
			return figbank.WrapError("weights", "Put", err, "chunk", index)
		}
		content = content[span.GetLength():]
	}
	p.mark(index)
	return nil
}

// Finalize verifies every chunk on disk once more, makes the version durable and renames its folder
// to the final name. If a chunk is missing or corrupt, Finalize returns a CorruptError, and Has
// returns false for the chunk. In a store opened with WithoutSync, Finalize syncs nothing, writes
// no manifest and does not rename the folder.
func (p *PartialVersion) Finalize() (*Version, error) {
	manifest := p.version.Manifest
	for i := range manifest.GetChunks() {
		index := figbank.ChunkIndex(i)
		if err := p.version.verifyChunk(index); err != nil {
			p.unmark(index)
			return nil, err
		}
	}
	if p.store.volatile {
		return p.addComplete(p.version.Folder), nil
	}
	final := p.store.path(p.version.Digest)
	if err := os.WriteFile(final+manifestSuffix, p.version.Content, fileMode); err != nil {
		return nil, figbank.WrapError("weights", "Seal", err)
	}
	if err := p.store.syncAll(); err != nil {
		return nil, err
	}
	if err := os.Rename(p.version.Folder, final); err != nil {
		return nil, figbank.WrapError("weights", "Seal", err)
	}
	if err := p.store.syncAll(); err != nil {
		return nil, err
	}
	return p.addComplete(final), nil
}

// addComplete adds the version, which is in the given folder, to the store's
// complete versions.
func (p *PartialVersion) addComplete(folder string) *Version {
	complete := &Version{
		Digest: p.version.Digest, Manifest: p.version.Manifest, Content: p.version.Content, Folder: folder, verified: true,
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.complete[complete.Digest] = complete
	return complete
}

// createFiles creates all folders and files. Each file gets its full size.
func (p *PartialVersion) createFiles() error {
	manifest := p.version.Manifest
	created := map[string]bool{}
	makeFolder := func(path string) error {
		if created[path] {
			return nil
		}
		created[path] = true
		return os.MkdirAll(filepath.Join(p.version.Folder, filepath.FromSlash(path)), folderMode)
	}
	if err := makeFolder("."); err != nil {
		return figbank.WrapError("weights", "Lay", err)
	}
	for _, folder := range manifest.GetEmptyFolders() {
		if err := makeFolder(folder); err != nil {
			return figbank.WrapError("weights", "Lay", err)
		}
	}
	for _, file := range manifest.GetFiles() {
		if err := makeFolder(parentOf(file.GetPath())); err != nil {
			return figbank.WrapError("weights", "Lay", err)
		}
		if err := p.createFile(file); err != nil {
			return figbank.WrapError("weights", "Lay", err, "file", file.GetPath())
		}
	}
	return nil
}

func (p *PartialVersion) createFile(file *schema.ManifestFile) error {
	mode := os.FileMode(fileMode)
	if file.GetExecutable() {
		mode = executableMode
	}
	opened, err := os.OpenFile(p.filePath(file), os.O_WRONLY|os.O_CREATE, mode)
	if err != nil {
		return err
	}
	if err := opened.Truncate(file.GetSize()); err != nil {
		_ = opened.Close()
		return err
	}
	return opened.Close()
}

func (p *PartialVersion) verifyExisting() {
	for i := range p.version.Manifest.GetChunks() {
		index := figbank.ChunkIndex(i)
		if err := p.version.verifyChunk(index); err == nil {
			p.mark(index)
		}
	}
}

// copyShared copies missing chunks from complete versions that contain the same chunks.
func (p *PartialVersion) copyShared() error {
	type location struct {
		version *Version
		index   figbank.ChunkIndex
	}
	locations := map[string]location{}
	for _, version := range p.store.Versions() {
		for i, chunk := range version.Manifest.GetChunks() {
			locations[string(chunk.GetDigest())] = location{version: version, index: figbank.ChunkIndex(i)}
		}
	}
	for i, chunk := range p.version.Manifest.GetChunks() {
		index := figbank.ChunkIndex(i)
		shared, found := locations[string(chunk.GetDigest())]
		if !found || p.Has(index) {
			continue
		}
		content, err := shared.version.ReadChunk(shared.index)
		if err != nil || !matchesDigest(chunk, content) {
			continue
		}
		if err := p.Put(index, content); err != nil {
			return err
		}
	}
	return nil
}

func (p *PartialVersion) writeSpan(span *schema.Span, content []byte) error {
	file, err := os.OpenFile(p.filePath(p.version.Manifest.GetFiles()[span.GetFile()]), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.WriteAt(content, span.GetOffset()); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (p *PartialVersion) filePath(file *schema.ManifestFile) string {
	return filepath.Join(p.version.Folder, filepath.FromSlash(file.GetPath()))
}

func (p *PartialVersion) mark(index figbank.ChunkIndex) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.have[index] {
		p.have[index] = true
		p.count++
	}
}

func (p *PartialVersion) unmark(index figbank.ChunkIndex) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.have[index] {
		p.have[index] = false
		p.count--
	}
}

func matchesDigest(chunk *schema.Chunk, content []byte) bool {
	sum := sha256.Sum256(content)
	return bytes.Equal(sum[:], chunk.GetDigest())
}

// modTime returns when a file or folder was last modified. It returns the zero time after an error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
