package swarm

import (
	"slices"
	"time"

	"figbank"
)

// nextFromPeers picks a chunk that some peer can give now. Peers in other
// regions are asked when it is this host's turn to bring the chunk into its
// region, or when this region stalls.
func (p *Plan) nextFromPeers(now time.Time) (Fetch, bool) {
	stalled := now.Sub(p.progress) >= p.settings.StallTime
	farthest := sameRegion
	if stalled {
		farthest = elsewhere
	}
	if p.settings.OneCopy && !stalled {
		if fetch, found := p.nextFromFar(now); found {
			return fetch, true
		}
	}
	ready := p.readyPeers(now, farthest, stalled)
	rarest := p.rarest(ready)
	if rarest < 0 {
		return Fetch{}, false
	}
	source := p.choose(ready, rarest)
	chunk := figbank.ChunkIndex(rarest) //nolint:gosec // an index of the manifest
	return Fetch{Chunk: chunk, Peer: source.ID, Address: source.Address}, true
}

// rarest returns the chunk with the fewest copies that one of the peers holds,
// ties at random, or -1.
func (p *Plan) rarest(ready []*peer) int {
	best, bestCopies, ties := -1, 0, 0
	for chunk, copies := range p.copies {
		index := figbank.ChunkIndex(chunk)
		if best >= 0 && copies > bestCopies || !p.wants(index) || !held(ready, chunk) {
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

// nextFromFar picks a chunk that no peer of this region holds and that it is
// this host's turn to bring from another.
func (p *Plan) nextFromFar(now time.Time) (Fetch, bool) {
	ready := p.readyPeers(now, elsewhere, false)
	turns := p.turns(now)
	for chunk, place := range p.regionLine {
		index := figbank.ChunkIndex(chunk)
		if place > turns || p.copies[chunk] == 0 || !p.wants(index) || p.heldNear(index) || !held(ready, chunk) {
			continue
		}
		source := p.choose(ready, chunk)
		return Fetch{Chunk: index, Peer: source.ID, Address: source.Address}, true
	}
	return Fetch{}, false
}

// readyPeers lists the peers that can be asked now, nearest first.
func (p *Plan) readyPeers(now time.Time, farthest int, narrow bool) []*peer {
	var ready []*peer
	for _, candidate := range p.peers {
		if candidate.narrow && !narrow {
			continue
		}
		if candidate.distance <= farthest && candidate.inFlight < perPeer && !now.Before(candidate.until) {
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
		// Map order is random already; equal peers need no further order.
		return 0
	})
	return ready
}

func (p *Plan) choose(ready []*peer, chunk int) *peer {
	for _, candidate := range ready {
		if candidate.have[chunk] {
			return candidate
		}
	}
	return nil
}

func held(ready []*peer, chunk int) bool {
	return slices.ContainsFunc(ready, func(candidate *peer) bool { return candidate.have[chunk] })
}
