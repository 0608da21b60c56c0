package fake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/origin"
)

type (
	// Origin is a stand-in origin of weights. It serves each folder under the digest of its
	// manifest, and supports Range requests.
	Origin struct {
		server *http.Server
		bytes  atomic.Int64
		// limitEvery makes every nth request for a file answer 429; 0 disables this.
		limitEvery int64
		requests   atomic.Int64

		mu       sync.Mutex
		versions map[figbank.ManifestDigest]version
	}

	version struct {
		manifest []byte
		folder   string
	}

	// countedWriter counts the bytes of answer bodies.
	countedWriter struct {
		http.ResponseWriter
		count *atomic.Int64
	}
)

// NewOrigin starts a stand-in origin that serves on listener until Close. Every limitEvery-th
// request for a file gets status 429; 0 disables this.
func NewOrigin(listener net.Listener, limitEvery int64) *Origin {
	o := &Origin{limitEvery: limitEvery, versions: map[figbank.ManifestDigest]version{}}
	o.server = &http.Server{Handler: http.HandlerFunc(o.serve), ReadHeaderTimeout: headerTimeout}
	go func() { _ = o.server.Serve(listener) }()
	return o
}

// Close stops the origin.
func (o *Origin) Close() {
	_ = o.server.Close()
}

// Add makes a folder available under the digest of its manifest.
func (o *Origin) Add(digest figbank.ManifestDigest, manifest []byte, folder string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[digest] = version{manifest: manifest, folder: folder}
}

// SentBytes returns how many bytes of files the origin has sent.
func (o *Origin) SentBytes() figbank.Bytes {
	return figbank.Bytes(o.bytes.Load())
}

func (o *Origin) serve(w http.ResponseWriter, r *http.Request) {
	digest, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	o.mu.Lock()
	v, found := o.versions[figbank.ManifestDigest(digest)]
	o.mu.Unlock()
	file, isFile := strings.CutPrefix(path, origin.FilesFolder+"/")
	switch {
	case !found || r.Method != http.MethodGet:
		http.NotFound(w, r)
	case path == origin.ManifestName:
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(v.manifest))
	case isFile:
		o.serveFile(w, r, v, file)
	default:
		http.NotFound(w, r)
	}
}

func (o *Origin) serveFile(w http.ResponseWriter, r *http.Request, v version, path string) {
	if n := o.requests.Add(1); o.limitEvery > 0 && n%o.limitEvery == 0 {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if !filepath.IsLocal(path) {
		http.NotFound(w, r)
		return
	}
	file, err := os.Open(filepath.Join(v.folder, path)) //nolint:gosec // checked to be local
	if err != nil {
		http.NotFound(w, r)
		return
	}
	defer file.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(&countedWriter{ResponseWriter: w, count: &o.bytes}, r, "", time.Time{}, file)
}

// Write writes to the underlying writer and counts the bytes.
func (c *countedWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// ReadFrom lets io.Copy use the ReadFrom method of the underlying writer, which is faster.
func (c *countedWriter) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(c.ResponseWriter, r)
	c.count.Add(n)
	return n, err
}
