package transfer

import (
	"cmp"
	"context"
	"slices"

	"figbank"
	"figbank/schema"
	"figbank/swarm"
	"figbank/weights"
)

const (
	// maxFollowedPeers limits the number of peers whose chunks a host follows, without those that
	// bring chunks into its region.
	maxFollowedPeers = 24
	// maxHaveUpdate limits the size of an update on the chunks that a peer holds. Each chunk takes at
	// most five bytes of it, and 48 or more of the manifest.
	maxHaveUpdate = maxManifest / 8
)

// followedPeers holds the peers of the last list, and how to stop following those whose
// chunks this host follows.
type followedPeers struct {
	listed []swarm.Peer
	stops  map[figbank.Address]context.CancelFunc
}

// updatePeers passes the current list of peers to the plan, and starts and stops the
// goroutines that follow them. It returns a channel that is closed when the list
// changes.
func (f *Fetcher) updatePeers(ctx context.Context, plan *swarm.Plan, partial *weights.PartialVersion, followed *followedPeers, inbox chan<- planUpdate) <-chan struct{} {
	peers, changed := f.peers()
	peers = slices.SortedFunc(slices.Values(peers), func(a, b swarm.Peer) int { return cmp.Compare(a.ID, b.ID) })
	if followed.listed != nil && slices.Equal(peers, followed.listed) {
		return changed
	}
	followed.listed = peers
	plan.SetPeers(peers)
	wanted := f.peersToFollow(peers, len(partial.Version().Manifest.GetChunks()))
	for address, stop := range followed.stops {
		if !slices.ContainsFunc(wanted, func(p swarm.Peer) bool { return p.Address == address }) {
			stop()
			delete(followed.stops, address)
		}
	}
	for _, peer := range wanted {
		if _, found := followed.stops[peer.Address]; found {
			continue
		}
		followCtx, stop := context.WithCancel(ctx) //nolint:gosec // stopped when the peer leaves the list, or with ctx
		followed.stops[peer.Address] = stop
		go f.followPeer(followCtx, peer, partial, inbox)
	}
	return changed
}

// peersToFollow picks the peers whose chunks this host follows: those that bring chunks into its
// region, and others of its region, at most maxFollowedPeers of them. If there are more, it picks
// those with the highest rendezvous hash for this host, so that different hosts follow different
// peers.
func (f *Fetcher) peersToFollow(peers []swarm.Peer, chunks int) []swarm.Peer {
	followed := swarm.FirstHosts(f.settings.Self, peers, chunks)
	others := slices.DeleteFunc(slices.Clone(peers), func(p swarm.Peer) bool {
		return p.ID == f.settings.Self.ID || p.Region != f.settings.Self.Region || slices.Contains(followed, p)
	})
	key := figbank.ManifestDigest(f.settings.Self.ID)
	slices.SortFunc(others, func(a, b swarm.Peer) int { return cmp.Compare(rendezvousHash(b.ID, key), rendezvousHash(a.ID, key)) })
	return append(followed, others[:min(maxFollowedPeers, len(others))]...)
}

// followPeer sends updates on the chunks that a peer holds to inbox, until the peer
// holds all of them or ctx ends. It opens the stream again after failures.
func (f *Fetcher) followPeer(ctx context.Context, peer swarm.Peer, partial *weights.PartialVersion, inbox chan<- planUpdate) {
	for ctx.Err() == nil {
		complete := f.followPeerOnce(ctx, peer, partial, inbox)
		if complete {
			return
		}
		sendUpdate(ctx, inbox, planUpdate{peer: peer.ID, lost: true})
		select {
		case <-ctx.Done():
		case <-f.common.Clock.After(retryDelay):
		}
	}
}

// followPeerOnce reads updates over one stream. It returns true once the peer holds
// every chunk, and false if the stream fails.
func (f *Fetcher) followPeerOnce(ctx context.Context, peer swarm.Peer, partial *weights.PartialVersion, inbox chan<- planUpdate) bool {
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
		if err := stream.ReceiveAtMost(update, maxHaveUpdate); err != nil {
			return false
		}
		sendUpdate(ctx, inbox, planUpdate{peer: peer.ID, narrow: update.GetNarrow(), chunks: chunksOf(update, len(version.Manifest.GetChunks()))})
		if update.GetWhole() {
			return true
		}
	}
}

func chunksOf(update *schema.HaveUpdate, total int) []figbank.ChunkIndex {
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
