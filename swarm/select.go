package swarm

import (
	"slices"
	"time"

	"figbank"
)

// nextFromPeers picks a chunk that some peer can deliver now. Normally it uses peers of this
// region. In OneCopy mode, it also uses a peer in another region when it is this host's turn to
// fetch the chunk into its region. If this region has made no progress for StallTime, it uses the
// peers of all regions, including those whose link has reduced bandwidth.
func (p *Plan) nextFromPeers(now time.Time) (Fetch, bool) {
	stalled := now.Sub(p.lastProgress) >= p.settings.StallTime
	maxDistance := sameRegion
	if stalled {
		maxDistance = otherRegion
	}
	if p.settings.OneCopy && !stalled {
		if fetch, found := p.nextFromOtherRegion(now); found {
			return fetch, true
		}
	}
	ready := p.readyPeers(now, maxDistance, stalled)
	rarest := p.rarest(ready)
	if rarest < 0 {
		return Fetch{}, false
	}
	source := p.nearestHolder(ready, rarest)
	chunk := figbank.ChunkIndex(rarest) //nolint:gosec // an index of the manifest
	return Fetch{Chunk: chunk, Peer: source.ID, Address: source.Address}, true
}

// rarest returns the chunk with the fewest copies among those that this host wants and a peer in
// ready holds, or -1 if there is none. It breaks ties at random.
func (p *Plan) rarest(ready []*peer) int {
	best, bestCopies, ties := -1, 0, 0
	for chunk, copies := range p.copies {
		index := figbank.ChunkIndex(chunk)
		if best >= 0 && copies > bestCopies || !p.wants(index) || !anyHolds(ready, chunk) {
			continue
		}
		if best < 0 || copies < bestCopies {
			best, bestCopies, ties = chunk, copies, 1
			continue
		}
		ties++
		if p.random.IntN(ties) == 0 {
			best = chunk
		}
	}
	return best
}

// nextFromOtherRegion picks a chunk that no peer of this region holds and for which
// it is this host's turn to fetch from another region.
func (p *Plan) nextFromOtherRegion(now time.Time) (Fetch, bool) {
	ready := p.readyPeers(now, otherRegion, false)
	for chunk, rank := range p.regionRank {
		index := figbank.ChunkIndex(chunk)
		if rank > p.turnsPassed(index, now) || p.copies[chunk] == 0 || !p.wants(index) || p.heldInRegion(index) || !anyHolds(ready, chunk) {
			continue
		}
		source := p.nearestHolder(ready, chunk)
		return Fetch{Chunk: index, Peer: source.ID, Address: source.Address}, true
	}
	return Fetch{}, false
}

// readyPeers lists the peers that can be asked now. It sorts them by distance, then by the number
// of chunks requested from them. Peers whose link has reduced bandwidth are left out unless
// includeNarrow is set.
func (p *Plan) readyPeers(now time.Time, maxDistance int, includeNarrow bool) []*peer {
	var ready []*peer
	for _, candidate := range p.peers {
		if candidate.narrow && !includeNarrow {
			continue
		}
		if candidate.distance <= maxDistance && candidate.inFlight < maxPerPeer && !now.Before(candidate.retryAt) {
			ready = append(ready, candidate)
		}
	}
	slices.SortFunc(ready, func(a, b *peer) int {
		if a.distance != b.distance {
			return a.distance - b.distance
		}
		if a.inFlight != b.inFlight {
			return a.inFlight - b.inFlight
		}
		// The iteration order of the map is random, so equal peers need no further order.
		return 0
	})
	return ready
}

func (p *Plan) nearestHolder(ready []*peer, chunk int) *peer {
	for _, candidate := range ready {
		if candidate.have[chunk] {
			return candidate
		}
	}
	return nil
}

func anyHolds(ready []*peer, chunk int) bool {
	return slices.ContainsFunc(ready, func(candidate *peer) bool { return candidate.have[chunk] })
}
