package transfer

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transport"
	"figbank/weights"
)

func testCommon(process figbank.ProcessID) figbank.Common {
	return figbank.Common{
		Process: process, Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(process, clock.System{}, 64),
	}
}

// serveOneChunk starts a server with one slot that holds a version with a single
// chunk.
func serveOneChunk(t *testing.T, chunk []byte) (figbank.Address, figbank.ManifestDigest) {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "weights"), chunk, 0o600); err != nil {
		t.Fatal(err)
	}
	manifest, err := weights.Build(folder)
	if err != nil {
		t.Fatal(err)
	}
	content, digest, err := weights.Marshal(manifest)
	if err != nil {
		t.Fatal(err)
	}
	store, err := weights.OpenStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	partial, err := store.Begin(content, digest)
	if err != nil {
		t.Fatal(err)
	}
	if err := partial.Put(0, chunk); err != nil {
		t.Fatal(err)
	}
	if _, err := partial.Finalize(); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	chunkServer := NewServer(testCommon("server"), store, &Active{}, 1)
	server := transport.NewServer(testCommon("server"), listener, transport.Handlers{schema.StreamKind_STREAM_KIND_CHUNK: chunkServer.ServeChunk})
	t.Cleanup(server.Close)
	return figbank.Address(listener.Addr().String()), digest
}

// requestChunk requests the chunk and returns the first part of the answer. The
// stream stays open, so to the server the peer is still receiving.
func requestChunk(t *testing.T, pool *transport.Pool, address figbank.Address, digest figbank.ManifestDigest) (*transport.Stream, *schema.ChunkPart) {
	t.Helper()
	stream, err := pool.Open(context.Background(), address, schema.StreamKind_STREAM_KIND_CHUNK)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&schema.ChunkRequest{Manifest: string(digest)}); err != nil {
		t.Fatal(err)
	}
	part := &schema.ChunkPart{}
	if err := stream.Receive(part); err != nil {
		t.Fatal(err)
	}
	return stream, part
}

// The link to one peer is slow, so the peer's chunk was written but is still in the link's queue.
// Meanwhile the server must refuse other peers, or the queue would grow with each request.
func TestSlotIsHeldUntilTheChunkHasArrived(t *testing.T) {
	address, digest := serveOneChunk(t, []byte("some weights"))
	pool := transport.NewPool(testCommon("peer"))
	defer pool.Close()
	slow, part := requestChunk(t, pool, address, digest)
	if got, want := string(part.GetData()), "some weights"; got != want {
		t.Fatalf("first peer: got %q, want %q", got, want)
	}
	second, part := requestChunk(t, pool, address, digest)
	second.Close()
	if !part.GetBusy() {
		t.Errorf("second peer while the first receives: got %v, want busy", part)
	}
	slow.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		third, part := requestChunk(t, pool, address, digest)
		third.Close()
		if !part.GetBusy() {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("third peer: got busy for five seconds after the first received its chunk, want the chunk")
		}
	}
}

// TestChunkArrivesAtRequestedRate requests a chunk at a limited rate, as a host does whose link may
// have reduced bandwidth. A chunk sent at full speed would delay the callers' requests behind it.
func TestChunkArrivesAtRequestedRate(t *testing.T) {
	const (
		length = 48 << 10
		rate   = 200 << 10
	)
	address, digest := serveOneChunk(t, make([]byte, length))
	pool := transport.NewPool(testCommon("peer"))
	t.Cleanup(pool.Close)
	stream, err := pool.Open(context.Background(), address, schema.StreamKind_STREAM_KIND_CHUNK)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	began := time.Now()
	if err := stream.Send(&schema.ChunkRequest{Manifest: string(digest), BytesPerSecond: rate}); err != nil {
		t.Fatal(err)
	}
	for got, last := 0, false; !last; {
		part := &schema.ChunkPart{}
		if err := stream.Receive(part); err != nil {
			t.Fatal(err)
		}
		got += len(part.GetData())
		last = part.GetLast()
		if burst := got - int(rate*time.Since(began).Seconds()); burst > pacedPartSize {
			t.Errorf("received %d bytes more than the rate allows, want at most %d", burst, pacedPartSize)
		}
	}
	if got, least := time.Since(began), (length-pacedPartSize)*time.Second/rate; got < least {
		t.Errorf("chunk arrived within %v, want at least %v", got, least)
	}
}

// Until a chunk was slow, chunks are requested at full speed. Afterwards they are requested
// slowly, until two fast ones show that the link has its full bandwidth.
func TestRequestRateIsLimitedOnSuspectLinks(t *testing.T) {
	link := NewLink(&fixedClock{now: time.Unix(1000, 0)}, 1_200_000)
	steps := []struct {
		took time.Duration
		want figbank.Bytes
	}{
		{want: 0},
		{took: 500 * time.Millisecond, want: 600_000},
		{took: 50 * time.Millisecond, want: 600_000},
		{took: 50 * time.Millisecond, want: 0},
	}
	for i, step := range steps {
		if step.took > 0 {
			link.observe(50_000, step.took, 1)
		}
		if got := link.RequestRate(); got != step.want {
			t.Errorf("RequestRate() after %d chunks = %d, want %d", i, got, step.want)
		}
	}
}
