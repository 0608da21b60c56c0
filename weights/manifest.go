// Package weights describes versions of weights by manifests and stores them on a
// host's disk. Each chunk is verified against its SHA-256 in the manifest.
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
	// ChunkSize is the maximum size of a chunk. A large file is split into chunks of this size.
	ChunkSize figbank.Bytes = 1 << 20
	// meanGroupSize is the mean number of small files that are grouped in one chunk, unless
	// ChunkSize limits it. A group ends after a file if the hash of the file's path is
	// divisible by meanGroupSize. Adding or removing a file therefore changes only the chunks
	// near the file, so that versions share all other chunks.
	meanGroupSize = 64
	// maxHashers limits the number of chunks that are hashed at once.
	maxHashers = 4

	digestPrefix = "sha256:"
)

// Build returns the manifest of the files in a folder and its subfolders. Symbolic links to files
// count as files. Build returns an error for anything else, including symbolic links to folders.
func Build(folder string) (*schema.Manifest, error) {
	manifest := &schema.Manifest{}
	if err := listFiles(folder, manifest); err != nil {
		return nil, err
	}
	manifest.Chunks = splitIntoChunks(manifest.GetFiles())
	return manifest, hashChunks(folder, manifest)
}

// Marshal returns a manifest's bytes and their digest, which identifies the
// version.
func Marshal(manifest *schema.Manifest) ([]byte, figbank.ManifestDigest, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(manifest)
	if err != nil {
		return nil, "", figbank.WrapError("weights", "Marshal", err)
	}
	return content, DigestOf(content), nil
}

// DigestOf returns the digest of a manifest's bytes.
func DigestOf(content []byte) figbank.ManifestDigest {
	sum := sha256.Sum256(content)
	return figbank.ManifestDigest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Size returns the total size of all files, in bytes.
func Size(manifest *schema.Manifest) figbank.Bytes {
	var size figbank.Bytes
	for _, file := range manifest.GetFiles() {
		size += figbank.Bytes(file.GetSize())
	}
	return size
}

// ChunkLength returns the total length of a chunk's spans, in bytes.
func ChunkLength(chunk *schema.Chunk) int64 {
	var length int64
	for _, span := range chunk.GetSpans() {
		length += span.GetLength()
	}
	return length
}

func listFiles(folder string, manifest *schema.Manifest) error {
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return addIfEmpty(manifest, path, relative)
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
	return figbank.WrapError("weights", "Walk", err, "folder", folder)
}

func addIfEmpty(manifest *schema.Manifest, path, relative string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	if len(entries) == 0 && relative != "." {
		manifest.EmptyFolders = append(manifest.EmptyFolders, filepath.ToSlash(relative))
	}
	return nil
}

// splitIntoChunks assigns every byte to a chunk. It splits files of at least ChunkSize, and groups
// smaller files.
func splitIntoChunks(files []*schema.ManifestFile) []*schema.Chunk {
	var chunks []*schema.Chunk
	group := &schema.Chunk{}
	endGroup := func() {
		if len(group.GetSpans()) > 0 {
			chunks = append(chunks, group)
			group = &schema.Chunk{}
		}
	}
	for i, file := range files {
		index := uint32(i)
		if file.GetSize() >= int64(ChunkSize) {
			chunks = append(chunks, splitLargeFile(index, file.GetSize())...)
			continue
		}
		if file.GetSize() == 0 {
			continue
		}
		if ChunkLength(group)+file.GetSize() > int64(ChunkSize) {
			endGroup()
		}
		group.Spans = append(group.Spans, &schema.Span{File: index, Length: file.GetSize()})
		if xxhash.Sum64String(file.GetPath())%meanGroupSize == 0 {
			endGroup()
		}
	}
	endGroup()
	return chunks
}

func splitLargeFile(index uint32, size int64) []*schema.Chunk {
	var chunks []*schema.Chunk
	for offset := int64(0); offset < size; offset += int64(ChunkSize) {
		length := min(int64(ChunkSize), size-offset)
		chunks = append(chunks, &schema.Chunk{Spans: []*schema.Span{{File: index, Offset: offset, Length: length}}})
	}
	return chunks
}

func hashChunks(folder string, manifest *schema.Manifest) error {
	var group errgroup.Group
	group.SetLimit(maxHashers)
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
			return nil, figbank.WrapError("weights", "Read", err, "file", path)
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

// Parse decodes and validates a manifest from an untrusted source. It returns a
// CorruptError if the digest is not the wanted one or the bytes cannot be decoded, and
// an InvalidError if the manifest is not valid.
func Parse(content []byte, want figbank.ManifestDigest) (*schema.Manifest, error) {
	if got := DigestOf(content); got != want {
		return nil, figbank.CorruptError{Subject: "manifest", Detail: fmt.Sprintf("digest is %s, not %s", got, want)}
	}
	manifest := &schema.Manifest{}
	if err := proto.Unmarshal(content, manifest); err != nil {
		return nil, figbank.CorruptError{Subject: "manifest", Detail: err.Error()}
	}
	if detail := checkManifest(manifest); detail != "" {
		return nil, figbank.InvalidError{Subject: "manifest", Detail: detail}
	}
	return manifest, nil
}

// checkManifest returns a description of what is wrong with a manifest, or "" if it
// is valid. Paths must stay inside the manifest's folder, and chunks must cover
// every byte exactly once.
func checkManifest(manifest *schema.Manifest) string {
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
		if !coverExactly(spans[i], file.GetSize()) {
			return fmt.Sprintf("chunks do not cover %s exactly", file.GetPath())
		}
	}
	return ""
}

func checkPaths(manifest *schema.Manifest) string {
	files := map[string]bool{}
	for _, file := range manifest.GetFiles() {
		if !fs.ValidPath(file.GetPath()) || file.GetPath() == "." || files[file.GetPath()] || file.GetSize() < 0 {
			return fmt.Sprintf("file %q has an invalid or repeated path, or a negative size", file.GetPath())
		}
		files[file.GetPath()] = true
	}
	folders := slices.Clone(manifest.GetEmptyFolders())
	for path := range files {
		folders = append(folders, parentOf(path))
	}
	for _, folder := range folders {
		if !fs.ValidPath(folder) {
			return fmt.Sprintf("folder %q has an invalid path", folder)
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

// coverExactly reports whether the spans cover a file of the given size without gaps
// or overlaps. It sorts the spans.
func coverExactly(spans []*schema.Span, size int64) bool {
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
