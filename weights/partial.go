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

// Partial is a version in transfer. It is safe for concurrent use.
type Partial struct {
	store   *Store
	version *Version

	mu    sync.Mutex
	have  []bool
	count int
}

// Begin starts or resumes the transfer of a version. Chunks on disk are
// verified before they count; chunks of other versions are copied.
func (s *Store) Begin(content []byte, digest figbank.ManifestDigest) (*Partial, error) {
	manifest, err := Parse(content, digest)
	if err != nil {
		return nil, err
	}
	version := &Version{Digest: digest, Manifest: manifest, Content: content, Folder: s.path(digest) + partialSuffix}
	p := &Partial{store: s, version: version, have: make([]bool, len(manifest.GetChunks()))}
	_, statErr := os.Stat(version.Folder)
	if err := p.lay(); err != nil {
		return nil, err
	}
	if statErr == nil {
		p.rescan()
	}
	return p, p.copyShared()
}

// Version describes the version in transfer; its chunks can be read once held.
func (p *Partial) Version() *Version {
	return p.version
}

// Has tells whether a chunk is on disk and verified.
func (p *Partial) Has(index figbank.ChunkIndex) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(index) < len(p.have) && p.have[index]
}

// Held lists the chunks on disk.
func (p *Partial) Held() []figbank.ChunkIndex {
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

// Count is the number of chunks on disk.
func (p *Partial) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Put verifies a chunk and writes it. Bytes that fail their check are refused
// with CorruptError and never touch the disk.
func (p *Partial) Put(index figbank.ChunkIndex, content []byte) error {
	chunk := p.version.Manifest.GetChunks()[index]
	if !matches(chunk, content) {
		return figbank.CorruptError{Subject: fmt.Sprintf("chunk %d", index), Detail: "SHA-256 does not match the manifest"}
	}
	for _, span := range chunk.GetSpans() {
		if err := p.writeSpan(span, content[:span.GetLength()]); err != nil {
			return figbank.Fail("weights", "Put", err, "chunk", index)
		}
		content = content[span.GetLength():]
	}
	p.mark(index)
	return nil
}

// Seal verifies the whole version once more from disk, makes it durable and
// gives it its final name.
func (p *Partial) Seal() (*Version, error) {
	manifest := p.version.Manifest
	for i := range manifest.GetChunks() {
		index := figbank.ChunkIndex(i)
		if err := p.version.verifyChunk(index); err != nil {
			p.unmark(index)
			return nil, err
		}
	}
	if p.store.volatile {
		return p.enlist(p.version.Folder), nil
	}
	final := p.store.path(p.version.Digest)
	if err := os.WriteFile(final+manifestSuffix, p.version.Content, fileMode); err != nil {
		return nil, figbank.Fail("weights", "Seal", err)
	}
	if err := p.store.syncAll(); err != nil {
		return nil, err
	}
	if err := os.Rename(p.version.Folder, final); err != nil {
		return nil, figbank.Fail("weights", "Seal", err)
	}
	if err := p.store.syncAll(); err != nil {
		return nil, err
	}
	return p.enlist(final), nil
}

// enlist counts the version, which lies in folder, as whole.
func (p *Partial) enlist(folder string) *Version {
	whole := &Version{
		Digest: p.version.Digest, Manifest: p.version.Manifest, Content: p.version.Content, Folder: folder, verified: true,
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.whole[whole.Digest] = whole
	return whole
}

// lay creates all folders and files, the files at their full sizes.
func (p *Partial) lay() error {
	manifest := p.version.Manifest
	made := map[string]bool{}
	makeFolder := func(path string) error {
		if made[path] {
			return nil
		}
		made[path] = true
		return os.MkdirAll(filepath.Join(p.version.Folder, filepath.FromSlash(path)), folderMode)
	}
	if err := makeFolder("."); err != nil {
		return figbank.Fail("weights", "Lay", err)
	}
	for _, folder := range manifest.GetEmptyFolders() {
		if err := makeFolder(folder); err != nil {
			return figbank.Fail("weights", "Lay", err)
		}
	}
	for _, file := range manifest.GetFiles() {
		if err := makeFolder(parentOf(file.GetPath())); err != nil {
			return figbank.Fail("weights", "Lay", err)
		}
		if err := p.layFile(file); err != nil {
			return figbank.Fail("weights", "Lay", err, "file", file.GetPath())
		}
	}
	return nil
}

func (p *Partial) layFile(file *schema.ManifestFile) error {
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

func (p *Partial) rescan() {
	for i := range p.version.Manifest.GetChunks() {
		index := figbank.ChunkIndex(i)
		if err := p.version.verifyChunk(index); err == nil {
			p.mark(index)
		}
	}
}

// copyShared takes chunks from whole versions that have them too.
func (p *Partial) copyShared() error {
	type place struct {
		version *Version
		index   figbank.ChunkIndex
	}
	places := map[string]place{}
	for _, version := range p.store.Versions() {
		for i, chunk := range version.Manifest.GetChunks() {
			places[string(chunk.GetDigest())] = place{version: version, index: figbank.ChunkIndex(i)}
		}
	}
	for i, chunk := range p.version.Manifest.GetChunks() {
		index := figbank.ChunkIndex(i)
		shared, found := places[string(chunk.GetDigest())]
		if !found || p.Has(index) {
			continue
		}
		content, err := shared.version.ReadChunk(shared.index)
		if err != nil || !matches(chunk, content) {
			continue
		}
		if err := p.Put(index, content); err != nil {
			return err
		}
	}
	return nil
}

func (p *Partial) writeSpan(span *schema.Span, content []byte) error {
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

func (p *Partial) filePath(file *schema.ManifestFile) string {
	return filepath.Join(p.version.Folder, filepath.FromSlash(file.GetPath()))
}

func (p *Partial) mark(index figbank.ChunkIndex) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.have[index] {
		p.have[index] = true
		p.count++
	}
}

func (p *Partial) unmark(index figbank.ChunkIndex) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.have[index] {
		p.have[index] = false
		p.count--
	}
}

func matches(chunk *schema.Chunk, content []byte) bool {
	sum := sha256.Sum256(content)
	return bytes.Equal(sum[:], chunk.GetDigest())
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
