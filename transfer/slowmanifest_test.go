package transfer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transport"
	"figbank/weights"
)

// hungOrigin answers only when its caller gives up, if hung. Otherwise it has the manifest.
type hungOrigin struct {
	hung     bool
	manifest []byte
}

func (o hungOrigin) Manifest(ctx context.Context, _ figbank.ManifestDigest) ([]byte, error) {
	if o.hung {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return o.manifest, nil
}

func (o hungOrigin) Chunk(ctx context.Context, _ *weights.Version, _ figbank.ChunkIndex) ([]byte, error) {
	return o.Manifest(ctx, "")
}

// serveManifests starts a peer that answers each request for a manifest by serve.
func serveManifests(t *testing.T, id figbank.ProcessID, serve transport.Handler) swarm.Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(testCommon(id), listener, transport.Handlers{schema.StreamKind_STREAM_KIND_MANIFEST: serve})
	t.Cleanup(server.Close)
	return swarm.Peer{ID: id, Address: figbank.Address(listener.Addr().String())}
}

// selfRankedFirst returns an id that ranks before those of the peers for a manifest.
func selfRankedFirst(peers []swarm.Peer, digest figbank.ManifestDigest) figbank.ProcessID {
	for self := figbank.ProcessID("s"); ; self += "s" {
		if (&Fetcher{settings: Settings{Self: swarm.Peer{ID: self}}}).ranksFirst(peers, digest) {
			return self
		}
	}
}

// A source of a manifest takes the request and sends a byte now and then, or none. The host must turn
// to another source, or it never gets the weights.
func TestSlowSourceOfAManifestIsLeft(t *testing.T) {
	manifest := []byte("manifest")
	silent := func(ctx context.Context, _ figbank.ProcessID, _ *transport.Stream) { <-ctx.Done() }
	trickling := func(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
		for ctx.Err() == nil && stream.Send(&schema.ChunkPart{Data: []byte("m")}) == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	whole := func(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
		_ = stream.Receive(&schema.ManifestRequest{})
		_ = stream.Send(&schema.ChunkPart{Data: manifest, Last: true})
	}
	scenarios := []struct {
		name       string
		originHung bool
		peers      []transport.Handler
	}{
		{name: "hung origin", originHung: true, peers: []transport.Handler{whole}},
		{name: "silent peer", peers: []transport.Handler{silent}},
		{name: "trickling peer", peers: []transport.Handler{trickling}},
		{name: "all but one peer", originHung: true, peers: []transport.Handler{silent, trickling, whole}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var peers []swarm.Peer
			for i, serve := range s.peers {
				peers = append(peers, serveManifests(t, figbank.ProcessID(rune('a'+i)), serve))
			}
			pool := transport.NewPool(testCommon("self"))
			defer pool.Close()
			self := swarm.Peer{ID: "self"}
			if s.originHung {
				self.ID = selfRankedFirst(peers, weights.DigestOf(manifest))
			}
			fetcher := NewFetcher(testCommon("self"), Settings{Self: self, StallTime: 100 * time.Millisecond}, nil, &Active{}, pool,
				hungOrigin{hung: s.originHung, manifest: manifest}, func() ([]swarm.Peer, <-chan struct{}) { return peers, nil })
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			got, err := fetcher.fetchManifest(ctx, weights.DigestOf(manifest))
			if err != nil || !bytes.Equal(got, manifest) {
				t.Errorf("fetchManifest() = %q, %v, want the manifest", got, err)
			}
		})
	}
}
