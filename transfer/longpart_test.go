package transfer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transport"

	"google.golang.org/protobuf/encoding/protodelim"
)

// A peer in trouble sends a part of a chunk that is longer than any chunk. Several chunks arrive at once,
// so such a part must not be read.
func TestPartLongerThanAnyIsNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(testCommon("peer"), listener, transport.Handlers{
		schema.StreamKind_STREAM_KIND_CHUNK: func(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
			_ = stream.Receive(&schema.ChunkRequest{})
			_ = stream.Send(&schema.ChunkPart{Data: make([]byte, 8<<20), Last: true})
		},
	})
	defer server.Close()
	pool := transport.NewPool(testCommon("self"))
	defer pool.Close()
	fetcher := NewFetcher(testCommon("self"), Settings{}, nil, &Active{}, pool, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err = fetcher.receiveParts(ctx, figbank.Address(listener.Addr().String()), schema.StreamKind_STREAM_KIND_CHUNK, &schema.ChunkRequest{}, 1<<20)
	var large *protodelim.SizeTooLargeError
	if !errors.As(err, &large) {
		t.Errorf("receiveParts() = %v, want SizeTooLargeError", err)
	}
	if got, _ := classify(err); got != swarm.FailureCorrupt {
		t.Errorf("classify() = %v, want the failure of corrupt content", got)
	}
}
