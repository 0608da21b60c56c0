package transfer

import (
	"cmp"
	"context"
	"slices"
	"strconv"

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
// the origin before the peers. Otherwise it asks only peers. It tries again until ctx ends.
func (f *Fetcher) fetchManifest(ctx context.Context, digest figbank.ManifestDigest) ([]byte, error) {
	began := f.common.Clock.Now()
	for {
		peers, _ := f.peers()
		stalled := f.common.Clock.Now().Sub(began) >= f.settings.StallTime
		if f.ranksFirst(peers, digest) || stalled {
			content, err := f.origin.Manifest(ctx, digest)
			if err == nil && weights.DigestOf(content) == digest {
				return content, nil
			}
		}
		if content := f.fetchManifestFromPeers(ctx, peers, digest); content != nil {
			return content, nil
		}
		select {
		case <-ctx.Done():
			return nil, figbank.WrapError("transfer", "Canceled", ctx.Err())
		case <-f.common.Clock.After(retryDelay):
		}
	}
}

// maxManifestPeers limits the number of peers that are asked for a manifest in one
// round.
const maxManifestPeers = 3

func (f *Fetcher) fetchManifestFromPeers(ctx context.Context, peers []swarm.Peer, digest figbank.ManifestDigest) []byte {
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
		request := &schema.ManifestRequest{Manifest: string(digest)}
		answer, err := f.receiveParts(ctx, peer.Address, schema.StreamKind_STREAM_KIND_MANIFEST, request, maxManifest)
		if err == nil && weights.DigestOf(answer.content) == digest {
			return answer.content
		}
	}
	return nil
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
		if err := stream.Receive(part); err != nil {
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
