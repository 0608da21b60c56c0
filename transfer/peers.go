package transfer

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/swarm"
	"figbank/weights"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// PeerRefusedError reports that a peer refused a request. If Busy is set, the peer is busy.
// Otherwise it lacks the requested content.
type PeerRefusedError struct {
	Busy bool
}

// Error describes why the peer refused the request.
func (e PeerRefusedError) Error() string {
	if e.Busy {
		return "peer is busy"
	}
	return "peer does not have the requested content"
}

// fetchManifest fetches a manifest's bytes from a peer or the origin. If this host has the highest
// rendezvous hash for the manifest in its region, or still has no manifest after StallTime, it asks
// the origin before the peers. Otherwise it asks only peers. It tries again until ctx ends. Each
// source has StallTime to send the whole manifest, so that a slow source is left for another one. The
// time doubles, up to maxManifestStalls times StallTime, after each round in which it passed, so that a
// slow link suffices in the end.
func (f *Fetcher) fetchManifest(ctx context.Context, digest figbank.ManifestDigest) ([]byte, error) {
	began := f.common.Clock.Now()
	timeout := f.settings.StallTime
	for {
		peers, _ := f.peers()
		roundBegan := f.common.Clock.Now()
		stalled := roundBegan.Sub(began) >= f.settings.StallTime
		if f.ranksFirst(peers, digest) || stalled {
			if content := f.fetchManifestFromOrigin(ctx, digest, timeout); content != nil {
				return content, nil
			}
		}
		if content := f.fetchManifestFromPeers(ctx, peers, digest, timeout); content != nil {
			return content, nil
		}
		if f.common.Clock.Now().Sub(roundBegan) >= timeout {
			timeout = min(2*timeout, maxManifestStalls*f.settings.StallTime)
		}
		select {
		case <-ctx.Done():
			return nil, figbank.WrapError("transfer", "Canceled", ctx.Err())
		case <-f.common.Clock.After(retryDelay):
		}
	}
}

const (
	// maxManifestPeers limits the number of peers that are asked for a manifest in one
	// round.
	maxManifestPeers = 3
	// maxManifestStalls limits the time for a source to send a manifest, in multiples of StallTime.
	// The longest manifest may then be as slow as a chunk.
	maxManifestStalls = time.Duration(maxManifest / weights.ChunkSize)
)

// fetchManifestFromOrigin returns nil unless the origin sends the manifest in time.
func (f *Fetcher) fetchManifestFromOrigin(ctx context.Context, digest figbank.ManifestDigest, timeout time.Duration) []byte {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	content, err := f.origin.Manifest(ctx, digest)
	if err != nil || weights.DigestOf(content) != digest {
		return nil
	}
	return content
}

// fetchManifestFromPeers asks a few peers, and returns nil unless one of them sends the manifest in time.
func (f *Fetcher) fetchManifestFromPeers(ctx context.Context, peers []swarm.Peer, digest figbank.ManifestDigest, timeout time.Duration) []byte {
	sameRegion := slices.DeleteFunc(slices.Clone(peers), func(p swarm.Peer) bool {
		return p.Region != f.settings.Self.Region || p.ID == f.settings.Self.ID
	})
	slices.SortFunc(sameRegion, func(a, b swarm.Peer) int {
		return cmp.Compare(rendezvousHash(b.ID, digest), rendezvousHash(a.ID, digest))
	})
	if len(sameRegion) > maxManifestPeers {
		// The peer with the highest hash is the first to ask the origin, so it is always
		// asked. The other peers are chosen at random to spread the load.
		f.random.Shuffle(len(sameRegion)-1, func(i, j int) { sameRegion[i+1], sameRegion[j+1] = sameRegion[j+1], sameRegion[i+1] })
		sameRegion = sameRegion[:maxManifestPeers]
	}
	for _, peer := range sameRegion {
		if content := f.fetchManifestFromPeer(ctx, peer, digest, timeout); content != nil {
			return content
		}
	}
	return nil
}

func (f *Fetcher) fetchManifestFromPeer(ctx context.Context, peer swarm.Peer, digest figbank.ManifestDigest, timeout time.Duration) []byte {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &schema.ManifestRequest{Manifest: string(digest)}
	answer, err := f.receiveParts(ctx, peer.Address, schema.StreamKind_STREAM_KIND_MANIFEST, request, maxManifest)
	if err != nil || weights.DigestOf(answer.content) != digest {
		return nil
	}
	return answer.content
}

// ranksFirst reports whether this host has the highest rendezvous hash for the manifest in its
// region.
func (f *Fetcher) ranksFirst(peers []swarm.Peer, digest figbank.ManifestDigest) bool {
	ownHash := rendezvousHash(f.settings.Self.ID, digest)
	return !slices.ContainsFunc(peers, func(p swarm.Peer) bool {
		return p.Region == f.settings.Self.Region && p.ID != f.settings.Self.ID && rendezvousHash(p.ID, digest) > ownHash
	})
}

func rendezvousHash(id figbank.ProcessID, digest figbank.ManifestDigest) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(digest))
}

// receiveParts sends a request and joins the parts of the answer. It returns a
// PeerRefusedError if the peer refuses the request, and a CorruptError if the parts have
// more than limit bytes.
func (f *Fetcher) receiveParts(ctx context.Context, address figbank.Address, kind schema.StreamKind, request proto.Message, limit figbank.Bytes) (*received, error) {
	stream, err := f.pool.Open(ctx, address, kind)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	answer := &received{content: make([]byte, 0, min(limit, weights.ChunkSize))}
	defer func() {
		if !answer.firstAt.IsZero() {
			f.arriving.Add(-1)
		}
	}()
	for {
		part := &schema.ChunkPart{}
		if err := stream.ReceiveAtMost(part, maxPart); err != nil {
			return nil, err
		}
		if part.GetBusy() || part.GetMissing() {
			return nil, figbank.WrapError("transfer", "PeerRefused", PeerRefusedError{Busy: part.GetBusy()})
		}
		if answer.firstAt.IsZero() {
			f.arriving.Add(1)
		}
		answer.add(f.common.Clock.Now(), part.GetData(), int(f.arriving.Load()))
		if figbank.Bytes(len(answer.content)) > limit {
			detail := "peer sent more than " + strconv.FormatInt(int64(limit), 10) + " bytes"
			return nil, figbank.CorruptError{Subject: "answer", Detail: detail}
		}
		if part.GetLast() {
			return answer, nil
		}
	}
}
