package swarm

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"figbank"
)

// markIdle records the time since which there is no fetch to start. A time that is
// already recorded stays.
func (p *Plan) markIdle(now time.Time) {
	if p.idleSince.IsZero() {
		p.idleSince = now
	}
}

// turnsPassed returns how many turns have passed. A host of rank n may fetch once n turns
// have passed. A turn passes with each StallTime without progress in the region. In
// OneCopy mode, a turn also passes with each idleTurn in which this host has no fetch to
// start.
func (p *Plan) turnsPassed(now time.Time) int {
	turns := int(now.Sub(p.lastProgress) / p.settings.StallTime)
	if p.settings.OneCopy && !p.idleSince.IsZero() {
		turns = max(turns, int(now.Sub(p.idleSince)/idleTurn))
	}
	return turns
}

// markPeersFailed records the time from which a chunk counts as one that its
// holders fail to deliver. The earliest time is kept.
func (p *Plan) markPeersFailed(chunk figbank.ChunkIndex, from time.Time) {
	if since, failed := p.peersFailedAt[chunk]; !failed || from.Before(since) {
		p.peersFailedAt[chunk] = from
	}
}

// turnsSincePeersFailed returns how many turns have passed since the time recorded by
// markPeersFailed, or -1 if there is none or it is still to come. All holders of a
// chunk may be slow, and asking one after the other takes longer than a fetch from the
// origin.
func (p *Plan) turnsSincePeersFailed(chunk figbank.ChunkIndex, now time.Time) int {
	since, failed := p.peersFailedAt[chunk]
	if !failed || now.Before(since) {
		return -1
	}
	return int(now.Sub(since) / idleTurn)
}

// turnsForHolders returns how many extra turns this host leaves to the holders of
// the chunk before it fetches the chunk from the origin itself. Outside OneCopy mode,
// it leaves a chunk that a peer of its region holds to that peer for good.
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

// computeRanks computes originRank and regionRank by rendezvous hashing. Hosts of
// other regions are counted only for originRank in OneCopy mode. Hosts on a narrowed
// link are not counted, unless this host is on one itself.
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
