package weights

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/schema"
)

// writeFiles writes files into a temporary folder and returns the folder. The keys of
// files are paths.
func writeFiles(t testing.TB, files map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for path, content := range files {
		full := filepath.Join(folder, path)
		if err := os.MkdirAll(filepath.Dir(full), folderMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(full, []byte(content), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func sampleFiles() map[string]string {
	return map[string]string{
		"large.bin":   strings.Repeat("0123456789abcdef", 200_000),
		"empty":       "",
		"a/b/c/small": "small",
		"a/other":     strings.Repeat("x", 5000),
	}
}

type built struct {
	folder   string
	manifest *schema.Manifest
	content  []byte
	digest   figbank.ManifestDigest
}

func build(t testing.TB, files map[string]string) built {
	t.Helper()
	folder := writeFiles(t, files)
	if err := os.MkdirAll(filepath.Join(folder, "nothing", "here"), folderMode); err != nil {
		t.Fatal(err)
	}
	manifest, err := Build(folder)
	if err != nil {
		t.Fatalf("Build() = %v", err)
	}
	content, digest, err := Marshal(manifest)
	if err != nil {
		t.Fatalf("Marshal() = %v", err)
	}
	return built{folder: folder, manifest: manifest, content: content, digest: digest}
}

func (b built) chunk(t testing.TB, index int) []byte {
	t.Helper()
	content, err := readSpans(b.folder, b.manifest, b.manifest.GetChunks()[index])
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func openStore(t testing.TB, folder string) *Store {
	t.Helper()
	store, err := OpenStore(folder)
	if err != nil {
		t.Fatalf("OpenStore() = %v", err)
	}
	return store
}

func beginTransfer(t testing.TB, store *Store, b built) *PartialVersion {
	t.Helper()
	partial, err := store.Begin(b.content, b.digest)
	if err != nil {
		t.Fatalf("Begin() = %v", err)
	}
	return partial
}

func TestBuildIsRepeatable(t *testing.T) {
	first, second := build(t, sampleFiles()), build(t, sampleFiles())
	if first.digest != second.digest {
		t.Errorf("digests of equal folders = %s and %s, want equal", first.digest, second.digest)
	}
	changed := sampleFiles()
	changed["a/other"] += "y"
	if third := build(t, changed); third.digest == first.digest {
		t.Error("digest of a changed folder is unchanged, want another")
	}
}

func TestTransferResumesAfterRestart(t *testing.T) {
	b := build(t, sampleFiles())
	folder := t.TempDir()
	partial := beginTransfer(t, openStore(t, folder), b)
	half := len(b.manifest.GetChunks()) / 2
	for i := range half {
		if err := partial.Put(figbank.ChunkIndex(i), b.chunk(t, i)); err != nil {
			t.Fatalf("Put(%d) = %v", i, err)
		}
	}
	if _, err := partial.Finalize(); !errors.As(err, new(figbank.CorruptError)) {
		t.Fatalf("Finalize() of half a version = %v, want CorruptError", err)
	}
	// After a restart of the agent, chunks on disk count again once they are verified.
	store := openStore(t, folder)
	if store.Version(b.digest) != nil {
		t.Fatal("half a version counts as complete")
	}
	partial = beginTransfer(t, store, b)
	if got := partial.Count(); got != half {
		t.Errorf("chunks after the restart = %d, want %d", got, half)
	}
	for i := half; i < len(b.manifest.GetChunks()); i++ {
		if err := partial.Put(figbank.ChunkIndex(i), b.chunk(t, i)); err != nil {
			t.Fatalf("Put(%d) = %v", i, err)
		}
	}
	version, err := partial.Finalize()
	if err != nil {
		t.Fatalf("Finalize() = %v", err)
	}
	again, err := Build(version.Folder)
	if err != nil || !proto.Equal(again, b.manifest) {
		t.Errorf("manifest of the finalized folder differs, error %v", err)
	}
	if openStore(t, folder).Version(b.digest) == nil {
		t.Error("finalized version is not complete after a restart")
	}
}

func TestPutRefusesBadChunk(t *testing.T) {
	b := build(t, sampleFiles())
	partial := beginTransfer(t, openStore(t, t.TempDir()), b)
	bad := b.chunk(t, 0)
	bad[0] ^= 1
	if err := partial.Put(0, bad); !errors.As(err, new(figbank.CorruptError)) {
		t.Errorf("Put() of a corrupt chunk = %v, want CorruptError", err)
	}
	if partial.Has(0) {
		t.Error("corrupt chunk counts as held")
	}
}

func TestSharedChunksAreCopied(t *testing.T) {
	first := build(t, sampleFiles())
	store := openStore(t, t.TempDir())
	partial := beginTransfer(t, store, first)
	for i := range first.manifest.GetChunks() {
		if err := partial.Put(figbank.ChunkIndex(i), first.chunk(t, i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := partial.Finalize(); err != nil {
		t.Fatal(err)
	}
	files := sampleFiles()
	files["a/other"] = "changed"
	second := build(t, files)
	large := int(int64(len(files["large.bin"]))/int64(ChunkSize)) + 1
	if got := beginTransfer(t, store, second).Count(); got < large {
		t.Errorf("chunks copied from the first version = %d, want at least the %d of the large file", got, large)
	}
}

func TestVerifyFindsDamage(t *testing.T) {
	b := build(t, sampleFiles())
	folder := t.TempDir()
	partial := beginTransfer(t, openStore(t, folder), b)
	for i := range b.manifest.GetChunks() {
		if err := partial.Put(figbank.ChunkIndex(i), b.chunk(t, i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := partial.Finalize(); err != nil {
		t.Fatal(err)
	}
	store := openStore(t, folder)
	version := store.Version(b.digest)
	if err := os.WriteFile(filepath.Join(version.Folder, "a/other"), []byte("damaged"), fileMode); err != nil {
		t.Fatal(err)
	}
	if err := store.Verify(version); !errors.As(err, new(figbank.CorruptError)) {
		t.Errorf("Verify() of a damaged version = %v, want CorruptError", err)
	}
	if store.Version(b.digest) != nil {
		t.Error("damaged version still counts as complete")
	}
	if got, want := beginTransfer(t, store, b).Count(), len(b.manifest.GetChunks())-1; got != want {
		t.Errorf("chunks kept = %d, want all but the damaged one, %d", got, want)
	}
}

func TestRetain(t *testing.T) {
	store := openStore(t, t.TempDir())
	var digests []figbank.ManifestDigest
	for _, text := range []string{"one", "two", "three"} {
		b := build(t, map[string]string{"f": text})
		partial := beginTransfer(t, store, b)
		if err := partial.Put(0, b.chunk(t, 0)); err != nil {
			t.Fatal(err)
		}
		if _, err := partial.Finalize(); err != nil {
			t.Fatal(err)
		}
		digests = append(digests, b.digest)
	}
	if err := store.Retain(digests[:1], 1); err != nil {
		t.Fatalf("Retain() = %v", err)
	}
	if store.Version(digests[0]) == nil {
		t.Error("named version was removed")
	}
	if got := len(store.Versions()); got != 2 {
		t.Errorf("versions kept = %d, want 2: the named one and one unnamed", got)
	}
}

func TestParseRefuses(t *testing.T) {
	sum := make([]byte, 32)
	chunk := func(spans ...*schema.Span) *schema.Chunk { return &schema.Chunk{Digest: sum, Spans: spans} }
	scenarios := []struct {
		name     string
		manifest *schema.Manifest
	}{
		{name: "path outside the folder", manifest: &schema.Manifest{Files: []*schema.ManifestFile{{Path: "../f"}}}},
		{name: "absolute path", manifest: &schema.Manifest{Files: []*schema.ManifestFile{{Path: "/f"}}}},
		{name: "duplicate path", manifest: &schema.Manifest{Files: []*schema.ManifestFile{{Path: "f"}, {Path: "f"}}}},
		{name: "path of both a file and a folder", manifest: &schema.Manifest{Files: []*schema.ManifestFile{{Path: "f"}, {Path: "f/g"}}}},
		{name: "empty folder outside the folder", manifest: &schema.Manifest{EmptyFolders: []string{"a/../.."}}},
		{name: "bytes without a chunk", manifest: &schema.Manifest{Files: []*schema.ManifestFile{{Path: "f", Size: 2}}}},
		{name: "span of a file that does not exist", manifest: &schema.Manifest{Chunks: []*schema.Chunk{chunk(&schema.Span{File: 3, Length: 1})}}},
		{
			name: "bytes covered twice",
			manifest: &schema.Manifest{
				Files:  []*schema.ManifestFile{{Path: "f", Size: 2}},
				Chunks: []*schema.Chunk{chunk(&schema.Span{Length: 2}), chunk(&schema.Span{Length: 2})},
			},
		},
		{
			name: "chunk without a digest",
			manifest: &schema.Manifest{
				Files:  []*schema.ManifestFile{{Path: "f", Size: 1}},
				Chunks: []*schema.Chunk{{Spans: []*schema.Span{{Length: 1}}}},
			},
		},
		{
			name: "chunk too long",
			manifest: &schema.Manifest{
				Files:  []*schema.ManifestFile{{Path: "f", Size: int64(ChunkSize) + 1}},
				Chunks: []*schema.Chunk{chunk(&schema.Span{Length: int64(ChunkSize) + 1})},
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			content, digest, err := Marshal(s.manifest)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(content, digest); !errors.As(err, new(figbank.InvalidError)) {
				t.Errorf("Parse() = %v, want InvalidError", err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(build(f, sampleFiles()).content)
	f.Fuzz(func(t *testing.T, content []byte) {
		manifest, err := Parse(content, DigestOf(content))
		if err != nil {
			return
		}
		for _, file := range manifest.GetFiles() {
			if !filepath.IsLocal(filepath.FromSlash(file.GetPath())) {
				t.Errorf("accepted path %q", file.GetPath())
			}
		}
	})
}
