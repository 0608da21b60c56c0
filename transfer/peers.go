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

// PeerRefusedError says that a peer is busy, or lacks what it was asked for.
type PeerRefusedError struct {
	Busy bool
}

// Error tells which of the two.
func (e PeerRefusedError) Error() string {
	if e.Busy {
		return "peer is busy"
	}
	return "peer does not hold it"
}

// watch follows which chunks a peer holds, until ctx ends.
func (f *Fetcher) watch(ctx context.Context, peer swarm.Peer, partial *weights.Partial, inbox chan<- news) {
	for ctx.Err() == nil {
		whole := f.watchOnce(ctx, peer, partial, inbox)
		if whole {
			return
		}
		tell(ctx, inbox, news{peer: peer.ID, lost: true})
		select {
		case <-ctx.Done():
		case <-f.common.Clock.After(manifestRetry):
		}
	}
}

// watchOnce returns true once the peer holds everything.
func (f *Fetcher) watchOnce(ctx context.Context, peer swarm.Peer, partial *weights.Partial, inbox chan<- news) bool {
	stream, err := f.pool.Open(ctx, peer.Address, schema.StreamKind_STREAM_KIND_HAVE)
	if err != nil {
		return false
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	version := partial.Version()
	if err := stream.Send(&schema.HaveRequest{Manifest: string(version.Digest)}); err != nil {
		return false
	}
	for {
		update := &schema.HaveUpdate{}
		if err := stream.Receive(update); err != nil {
			return false
		}
		tell(ctx, inbox, news{peer: peer.ID, narrow: update.GetNarrow(), chunks: listed(update, len(version.Manifest.GetChunks()))})
		if update.GetWhole() {
			return true
		}
	}
}

func listed(update *schema.HaveUpdate, total int) []figbank.ChunkIndex {
	var chunks []figbank.ChunkIndex
	if update.GetWhole() {
		for i := range total {
			chunks = append(chunks, figbank.ChunkIndex(i))
		}
		return chunks
	}
	for _, chunk := range update.GetChunks() {
		chunks = append(chunks, figbank.ChunkIndex(chunk))
	}
	return chunks
}

// manifest gets a manifest's bytes: from the origin where this host is first in
// its region's line, else from a peer, and from the origin after a stall.
func (f *Fetcher) manifest(ctx context.Context, digest figbank.ManifestDigest) ([]byte, error) {
	begun := f.common.Clock.Now()
	for {
		peers, _ := f.peers()
		stalled := f.common.Clock.Now().Sub(begun) >= f.settings.StallTime
		if f.firstInLine(peers, digest) || stalled {
			content, err := f.origin.Manifest(ctx, digest)
			if err == nil && weights.DigestOf(content) == digest {
				return content, nil
			}
		}
		if content := f.manifestFromPeers(ctx, peers, digest); content != nil {
			return content, nil
		}
		select {
		case <-ctx.Done():
			return nil, figbank.Fail("transfer", "Canceled", ctx.Err())
		case <-f.common.Clock.After(manifestRetry):
		}
	}
}

// peersAsked bounds how many peers are asked for a manifest in one round.
const peersAsked = 3

func (f *Fetcher) manifestFromPeers(ctx context.Context, peers []swarm.Peer, digest figbank.ManifestDigest) []byte {
	near := slices.DeleteFunc(slices.Clone(peers), func(p swarm.Peer) bool {
		return p.Region != f.settings.Self.Region || p.ID == f.settings.Self.ID
	})
	slices.SortFunc(near, func(a, b swarm.Peer) int {
		return cmp.Compare(lineRank(b.ID, digest), lineRank(a.ID, digest))
	})
	if len(near) > peersAsked {
		// The first in line gets the manifest first; two others spread the load.
		f.random.Shuffle(len(near)-1, func(i, j int) { near[i+1], near[j+1] = near[j+1], near[i+1] })
		near = near[:peersAsked]
	}
	for _, peer := range near {
		request := &schema.ManifestRequest{Manifest: string(digest)}
		content, err := f.receiveParts(ctx, peer.Address, schema.StreamKind_STREAM_KIND_MANIFEST, request, maxManifest)
		if err == nil && weights.DigestOf(content) == digest {
			return content
		}
	}
	return nil
}

func (f *Fetcher) firstInLine(peers []swarm.Peer, digest figbank.ManifestDigest) bool {
	own := lineRank(f.settings.Self.ID, digest)
	return !slices.ContainsFunc(peers, func(p swarm.Peer) bool {
		return p.Region == f.settings.Self.Region && p.ID != f.settings.Self.ID && lineRank(p.ID, digest) > own
	})
}

func lineRank(id figbank.ProcessID, digest figbank.ManifestDigest) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(digest))
}

// receiveParts sends a request and joins the parts of the answer, at most limit bytes.
func (f *Fetcher) receiveParts(ctx context.Context, address figbank.Address, kind schema.StreamKind, request proto.Message, limit figbank.Bytes) ([]byte, error) {
	stream, err := f.pool.Open(ctx, address, kind)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	content := make([]byte, 0, min(limit, weights.ChunkSize))
	for {
		part := &schema.ChunkPart{}
		if err := stream.Receive(part); err != nil {
			return nil, err
		}
		if part.GetBusy() || part.GetMissing() {
			return nil, figbank.Fail("transfer", "PeerRefused", PeerRefusedError{Busy: part.GetBusy()})
		}
		content = append(content, part.GetData()...)
		if figbank.Bytes(len(content)) > limit {
			detail := "peer sent more than " + strconv.FormatInt(int64(limit), 10) + " bytes"
			return nil, figbank.CorruptError{Subject: "answer", Detail: detail}
		}
		if part.GetLast() {
			return content, nil
		}
	}
}
