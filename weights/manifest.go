// Package weights describes versions of weights by manifests, and keeps them on
// a host's disk, verified chunk by chunk.
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"figbank"
	"figbank/schema"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	// ChunkSize is the size of a chunk of a large file, and the most that a chunk
	// of several small files holds.
	ChunkSize figbank.Bytes = 1 << 20
	// groupMean is the mean number of small files that share a chunk. A group ends
	// after a file whose path's hash divides by it, so that a file added or removed
	// changes its own group only, and versions share the others.
	groupMean = 64
	// hashers is how many chunks are hashed at once.
	hashers = 4

	digestPrefix = "sha256:"
)

// Build lists the files below a folder. Links to files count as files; anything
// that is neither file nor folder is refused.
func Build(folder string) (*schema.Manifest, error) {
	manifest := &schema.Manifest{}
	if err := walk(folder, manifest); err != nil {
		return nil, err
	}
	manifest.Chunks = cut(manifest.GetFiles())
	return manifest, hashChunks(folder, manifest)
}

// Marshal returns a manifest's bytes and their digest, which names the version.
func Marshal(manifest *schema.Manifest) ([]byte, figbank.ManifestDigest, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(manifest)
	if err != nil {
		return nil, "", figbank.Fail("weights", "Marshal", err)
	}
	return content, DigestOf(content), nil
}

// DigestOf returns the digest of a manifest's bytes.
func DigestOf(content []byte) figbank.ManifestDigest {
	sum := sha256.Sum256(content)
	return figbank.ManifestDigest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Size is the sum of all files.
func Size(manifest *schema.Manifest) figbank.Bytes {
	var size figbank.Bytes
	for _, file := range manifest.GetFiles() {
		size += figbank.Bytes(file.GetSize())
	}
	return size
}

// ChunkLength is the sum of a chunk's spans.
func ChunkLength(chunk *schema.Chunk) int64 {
	var length int64
	for _, span := range chunk.GetSpans() {
		length += span.GetLength()
	}
	return length
}

func walk(folder string, manifest *schema.Manifest) error {
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return addFolder(manifest, path, relative)
		}
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		if !info.Mode().IsRegular() {
			return figbank.InvalidError{Subject: "weights", Detail: path + " is neither a file nor a folder"}
		}
		manifest.Files = append(manifest.Files, &schema.ManifestFile{
			Path: filepath.ToSlash(relative), Size: info.Size(), Executable: info.Mode()&0o111 != 0,
		})
		return nil
	})
	return figbank.Fail("weights", "Walk", err, "folder", folder)
}

func addFolder(manifest *schema.Manifest, path, relative string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	if len(entries) == 0 && relative != "." {
		manifest.EmptyFolders = append(manifest.EmptyFolders, filepath.ToSlash(relative))
	}
	return nil
}

// cut assigns every byte to a chunk: large files in pieces of ChunkSize, small
// ones in groups.
func cut(files []*schema.ManifestFile) []*schema.Chunk {
	var chunks []*schema.Chunk
	group := &schema.Chunk{}
	closeGroup := func() {
		if len(group.GetSpans()) > 0 {
			chunks = append(chunks, group)
			group = &schema.Chunk{}
		}
	}
	for i, file := range files {
		index := uint32(i)
		if file.GetSize() >= int64(ChunkSize) {
			chunks = append(chunks, cutLarge(index, file.GetSize())...)
			continue
		}
		if file.GetSize() == 0 {
			continue
		}
		if ChunkLength(group)+file.GetSize() > int64(ChunkSize) {
			closeGroup()
		}
		group.Spans = append(group.Spans, &schema.Span{File: index, Length: file.GetSize()})
		if xxhash.Sum64String(file.GetPath())%groupMean == 0 {
			closeGroup()
		}
	}
	closeGroup()
	return chunks
}

func cutLarge(index uint32, size int64) []*schema.Chunk {
	var chunks []*schema.Chunk
	for offset := int64(0); offset < size; offset += int64(ChunkSize) {
		length := min(int64(ChunkSize), size-offset)
		chunks = append(chunks, &schema.Chunk{Spans: []*schema.Span{{File: index, Offset: offset, Length: length}}})
	}
	return chunks
}

func hashChunks(folder string, manifest *schema.Manifest) error {
	var group errgroup.Group
	group.SetLimit(hashers)
	for _, chunk := range manifest.GetChunks() {
		group.Go(func() error {
			content, err := readSpans(folder, manifest, chunk)
			if err != nil {
				return err
			}
			sum := sha256.Sum256(content)
			chunk.Digest = sum[:]
			return nil
		})
	}
	return group.Wait()
}

func readSpans(folder string, manifest *schema.Manifest, chunk *schema.Chunk) ([]byte, error) {
	content := make([]byte, 0, ChunkLength(chunk))
	for _, span := range chunk.GetSpans() {
		path := filepath.Join(folder, filepath.FromSlash(manifest.GetFiles()[span.GetFile()].GetPath()))
		start := len(content)
		content = content[:start+int(span.GetLength())]
		if err := readSpan(path, span.GetOffset(), content[start:]); err != nil {
			return nil, figbank.Fail("weights", "Read", err, "file", path)
		}
	}
	return content, nil
}

func readSpan(path string, offset int64, into []byte) error {
	file, err := os.Open(path) //nolint:gosec // the path was checked with its manifest
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.ReadFull(io.NewSectionReader(file, offset, int64(len(into))), into)
	return err
}

// Parse reads and checks a manifest received from outside. Its digest must be
// the wanted one.
func Parse(content []byte, want figbank.ManifestDigest) (*schema.Manifest, error) {
	if got := DigestOf(content); got != want {
		return nil, figbank.CorruptError{Subject: "manifest", Detail: fmt.Sprintf("digest is %s, not %s", got, want)}
	}
	manifest := &schema.Manifest{}
	if err := proto.Unmarshal(content, manifest); err != nil {
		return nil, figbank.CorruptError{Subject: "manifest", Detail: err.Error()}
	}
	if detail := check(manifest); detail != "" {
		return nil, figbank.InvalidError{Subject: "manifest", Detail: detail}
	}
	return manifest, nil
}

// check returns what is wrong with a manifest: paths must stay inside its
// folder, and chunks must cover every byte exactly once.
func check(manifest *schema.Manifest) string {
	if detail := checkPaths(manifest); detail != "" {
		return detail
	}
	spans := make([][]*schema.Span, len(manifest.GetFiles()))
	for i, chunk := range manifest.GetChunks() {
		if len(chunk.GetDigest()) != sha256.Size {
			return fmt.Sprintf("chunk %d has no SHA-256", i)
		}
		for _, span := range chunk.GetSpans() {
			if int(span.GetFile()) >= len(spans) || span.GetLength() <= 0 || span.GetLength() > int64(ChunkSize) {
				return fmt.Sprintf("chunk %d has a span out of range", i)
			}
			spans[span.GetFile()] = append(spans[span.GetFile()], span)
		}
		if ChunkLength(chunk) > int64(ChunkSize) {
			return fmt.Sprintf("chunk %d is too long", i)
		}
	}
	for i, file := range manifest.GetFiles() {
		if !covers(spans[i], file.GetSize()) {
			return fmt.Sprintf("chunks do not cover %s exactly", file.GetPath())
		}
	}
	return ""
}

func checkPaths(manifest *schema.Manifest) string {
	files := map[string]bool{}
	for _, file := range manifest.GetFiles() {
		if !fs.ValidPath(file.GetPath()) || file.GetPath() == "." || files[file.GetPath()] || file.GetSize() < 0 {
			return fmt.Sprintf("file %q is not allowed", file.GetPath())
		}
		files[file.GetPath()] = true
	}
	folders := slices.Clone(manifest.GetEmptyFolders())
	for path := range files {
		folders = append(folders, parentOf(path))
	}
	for _, folder := range folders {
		if !fs.ValidPath(folder) {
			return fmt.Sprintf("folder %q is not allowed", folder)
		}
		for ; folder != "."; folder = parentOf(folder) {
			if files[folder] {
				return fmt.Sprintf("%q is both a file and a folder", folder)
			}
		}
	}
	return ""
}

func parentOf(path string) string {
	return filepath.ToSlash(filepath.Dir(filepath.FromSlash(path)))
}

func covers(spans []*schema.Span, size int64) bool {
	slices.SortFunc(spans, func(a, b *schema.Span) int {
		if a.GetOffset() < b.GetOffset() {
			return -1
		}
		return 1
	})
	var end int64
	for _, span := range spans {
		if span.GetOffset() != end {
			return false
		}
		end += span.GetLength()
	}
	return end == size
}
