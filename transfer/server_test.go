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

func common(process figbank.ProcessID) figbank.Common {
	return figbank.Common{
		Process: process, Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(process, clock.System{}, 64),
	}
}

// serveOneChunk starts a server with one slot that holds a version of one chunk.
func serveOneChunk(t *testing.T) (figbank.Address, figbank.ManifestDigest) {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "weights"), []byte("some weights"), 0o600); err != nil {
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
	if err := partial.Put(0, []byte("some weights")); err != nil {
		t.Fatal(err)
	}
	if _, err := partial.Seal(); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pieces := NewServer(common("server"), store, &Active{}, 1)
	server := transport.NewServer(common("server"), listener, transport.Handlers{schema.StreamKind_STREAM_KIND_CHUNK: pieces.ServeChunk})
	t.Cleanup(server.Close)
	return figbank.Address(listener.Addr().String()), digest
}

// ask asks for the chunk and returns the first part of the answer. The stream
// stays open: to the server, the peer is still receiving.
func ask(t *testing.T, pool *transport.Pool, address figbank.Address, digest figbank.ManifestDigest) (*transport.Stream, *schema.ChunkPart) {
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

// The link to one peer is narrow: the chunk has been written, but lies in the
// link's queue. Another peer must wait, or the queue grows with each that asks.
func TestSlotIsHeldUntilTheChunkHasArrived(t *testing.T) {
	address, digest := serveOneChunk(t)
	pool := transport.NewPool(common("peer"))
	defer pool.Close()
	slow, part := ask(t, pool, address, digest)
	if got, want := string(part.GetData()), "some weights"; got != want {
		t.Fatalf("first peer: got %q, want %q", got, want)
	}
	second, part := ask(t, pool, address, digest)
	second.Close()
	if !part.GetBusy() {
		t.Errorf("second peer while the first receives: got %v, want busy", part)
	}
	slow.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		third, part := ask(t, pool, address, digest)
		third.Close()
		if !part.GetBusy() {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("third peer: got busy for five seconds after the first had its chunk, want the chunk")
		}
	}
}
