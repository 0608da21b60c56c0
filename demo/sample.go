package demo

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"figbank"
	"figbank/schema"
)

const (
	largeFileSize     = 12 << 20
	smallFileLimit    = 3 << 10
	smallFileCount    = 200
	folderMode        = 0o755
	fileMode          = 0o644
	sampleSeed        = 20261204
	compareBufferSize = 256 << 10
)

// writeSample writes a small folder of weights: one large file, many small files, an empty
// file, and nested and empty folders.
func writeSample(folder string) error {
	random := rand.New(rand.NewPCG(sampleSeed, 0)) //nolint:gosec // sample bytes, no secret
	files := map[string]int{"model.bin": largeFileSize, "empty.txt": 0}
	for i := range smallFileCount {
		files[fmt.Sprintf("tokens/%02d/part-%03d", i%10, i)] = random.IntN(smallFileLimit)
	}
	for _, path := range slices.Sorted(maps.Keys(files)) {
		if err := writeRandom(filepath.Join(folder, path), files[path], random); err != nil {
			return err
		}
	}
	return figbank.WrapError("demo", "Sample", os.MkdirAll(filepath.Join(folder, "nothing", "here"), folderMode))
}

func writeRandom(path string, size int, random *rand.Rand) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return figbank.WrapError("demo", "Sample", err)
	}
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(random.UintN(1 << 8)) //nolint:gosec // below 256
	}
	return figbank.WrapError("demo", "Sample", os.WriteFile(path, content, fileMode))
}

// comparer compares files with one pair of reused buffers. It is not safe for concurrent
// use.
type comparer struct {
	sourceBuffer, hostBuffer []byte
}

func newComparer() *comparer {
	return &comparer{sourceBuffer: make([]byte, compareBufferSize), hostBuffer: make([]byte, compareBufferSize)}
}

// compareFolders checks that a host's folder holds exactly the files that the manifest lists, with
// the same bytes as in source. It also checks that the listed empty folders exist.
func (c *comparer) compareFolders(source, host string, manifest *schema.Manifest) error {
	listed := map[string]bool{}
	for _, file := range manifest.GetFiles() {
		listed[file.GetPath()] = true
		if err := c.compareFiles(filepath.Join(source, file.GetPath()), filepath.Join(host, file.GetPath())); err != nil {
			return err
		}
	}
	for _, folder := range manifest.GetEmptyFolders() {
		if _, err := os.Stat(filepath.Join(host, folder)); err != nil {
			return figbank.WrapError("demo", "Compare", err)
		}
	}
	return filepath.WalkDir(host, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		relative, err := filepath.Rel(host, path)
		if err == nil && !listed[filepath.ToSlash(relative)] {
			return figbank.CorruptError{Subject: path, Detail: "not part of the declared weights"}
		}
		return err
	})
}

func (c *comparer) compareFiles(sourcePath, hostPath string) error {
	sourceFile, err := os.Open(sourcePath) //nolint:gosec // the demo's own folders
	if err != nil {
		return figbank.WrapError("demo", "Compare", err)
	}
	defer sourceFile.Close()
	hostFile, err := os.Open(hostPath) //nolint:gosec // the demo's own folders
	if err != nil {
		return figbank.WrapError("demo", "Compare", err)
	}
	defer hostFile.Close()
	expected, actual := c.sourceBuffer, c.hostBuffer
	for {
		n, sourceErr := io.ReadFull(sourceFile, expected)
		m, hostErr := io.ReadFull(hostFile, actual)
		if n != m || !bytes.Equal(expected[:n], actual[:m]) {
			return figbank.CorruptError{Subject: hostPath, Detail: "differs from " + sourcePath}
		}
		if sourceErr != nil || hostErr != nil {
			return nil
		}
	}
}
