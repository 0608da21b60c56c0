package swarm

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"figbank"
)

// markIdle records that there is no fetch to start now. It keeps the time of an earlier call,
// until a fetch is started.
func (p *Plan) markIdle(now time.Time) {
	if p.idleSince.IsZero() {
		p.idleSince = now
	}
}

// turnsPassed returns how many turns have passed. A host may fetch a chunk once as many turns have
// passed as there are hosts before it in the chunk's order. A turn passes with each StallTime
// without progress in the region. In OneCopy mode, a turn also passes with each idleTurn since this
// host ran out of fetches to start, and the larger of the two counts applies.
func (p *Plan) turnsPassed(now time.Time) int {
	turns := int(now.Sub(p.lastProgress) / p.settings.StallTime)
	if p.settings.OneCopy && !p.idleSince.IsZero() {
		turns = max(turns, int(now.Sub(p.idleSince)/idleTurn))
	}
	return turns
}

// markPeersFailed records that, from the given time, a chunk counts as one that its holders fail to
// deliver. Of several such times, the earliest is kept.
func (p *Plan) markPeersFailed(chunk figbank.ChunkIndex, from time.Time) {
	if since, failed := p.peersFailedAt[chunk]; !failed || from.Before(since) {
		p.peersFailedAt[chunk] = from
	}
}

// turnsSincePeersFailed returns how many turns have passed since the holders of a chunk failed to
// deliver it, or -1 if they have not failed. These turns pass independently of the region's
// progress: all holders may be slow, and asking one after the other takes longer than a fetch from
// the origin.
func (p *Plan) turnsSincePeersFailed(chunk figbank.ChunkIndex, now time.Time) int {
	since, failed := p.peersFailedAt[chunk]
	if !failed || now.Before(since) {
		return -1
	}
	return int(now.Sub(since) / idleTurn)
}

// turnsForHolders returns how many additional turns this host waits for peers that hold the chunk
// before it fetches the chunk from the origin. Outside OneCopy mode, this number is practically
// infinite if a peer of its region holds the chunk. nextFromOrigin ignores it once those peers
// failed to deliver the chunk.
func (p *Plan) turnsForHolders(chunk figbank.ChunkIndex) int {
	switch {
	case p.heldInRegion(chunk) && !p.settings.OneCopy:
		return math.MaxInt32
	case p.heldInRegion(chunk):
		return sameRegionTurns
	case p.settings.OneCopy && p.copies[chunk] > 0:
		return otherRegionTurns
	}
	return 0
}

// computeRanks computes originRank and regionRank by rendezvous hashing. Hosts of other regions are
// counted only for originRank in OneCopy mode. Hosts whose link has reduced bandwidth are not
// counted, unless this host's link has reduced bandwidth too.
func (p *Plan) computeRanks() {
	p.originRank = make([]int, p.settings.Chunks)
	p.regionRank = make([]int, p.settings.Chunks)
	for chunk := range p.originRank {
		ownHash := rendezvousHash(p.settings.Self.ID, chunk)
		for _, other := range p.peers {
			if other.narrow && p.extraTurns == 0 {
				continue
			}
			inRegion := other.Region == p.settings.Self.Region
			if !inRegion && !p.settings.OneCopy || rendezvousHash(other.ID, chunk) <= ownHash {
				continue
			}
			p.originRank[chunk]++
			if inRegion {
				p.regionRank[chunk]++
			}
		}
	}
}

func rendezvousHash(id figbank.ProcessID, chunk int) uint64 {
	return xxhash.Sum64String(string(id) + "/" + strconv.Itoa(chunk))
}
