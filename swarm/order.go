package swarm

import (
	"cmp"
	"math"
	"slices"
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

// turnsPassed returns how many turns of a chunk have passed. A host may fetch a chunk once as many
// turns have passed as there are hosts before it in the chunk's order. A turn passes with each
// StallTime without progress in the region. In OneCopy mode, a turn also passes with each idleTurn
// in which this host had no fetch to start, no first copy of any chunk became known, and the origin
// should have sent the chunk. If no copy of the chunk is known although the origin should have sent
// it, a turn passes with each firstCopyTurn, however busy this host is: the origin may be lost
// before the other chunks have spread. While nothing new leaves the origin, such a turn is as short as
// quietTurn. The largest of these counts applies.
func (p *Plan) turnsPassed(chunk figbank.ChunkIndex, now time.Time) int {
	progress := p.lastProgress
	if p.originFailures > 0 && p.copies[chunk] == 0 {
		// While the origin is lost, no host makes progress, the first ones in the order neither.
		progress = later(progress, p.originRetryAt)
	}
	turns := int(max(0, now.Sub(progress)) / p.settings.StallTime)
	if p.settings.OneCopy && !p.idleSince.IsZero() {
		since := later(later(p.idleSince, p.lastFirstCopy), p.sentBy(chunk))
		turns = max(turns, int(now.Sub(since)/idleTurn))
	}
	if p.settings.OneCopy && p.settings.OriginGap > 0 && p.copies[chunk] == 0 {
		turns = max(turns, int(now.Sub(p.sentBy(chunk))/firstCopyTurn), int(now.Sub(later(p.lastFirstCopy, p.sentBy(chunk)))/quietTurn))
	}
	return turns
}

// originTurn returns when the origin has had the time to send the chunks before this one.
func (p *Plan) originTurn(chunk figbank.ChunkIndex) time.Time {
	return p.originRetryAt.Add(time.Duration(p.originOrder[chunk]) * p.settings.OriginGap)
}

// sentBy returns when the origin has had the time to send a chunk.
func (p *Plan) sentBy(chunk figbank.ChunkIndex) time.Time {
	return p.originTurn(chunk).Add(p.settings.OriginGap)
}

// orderFromOrigin computes originOrder.
func (p *Plan) orderFromOrigin() {
	p.originOrder = make([]int, p.settings.Chunks)
	position := 0
	for chunk := range p.originOrder {
		p.originOrder[chunk] = position
		if !p.have[chunk] && p.copies[chunk] == 0 {
			position++
		}
	}
}

// noticeOrigin ends the pause after failed fetches from the origin, since a chunk that nobody held has just come from there.
func (p *Plan) noticeOrigin(now time.Time) {
	if p.originFailures > 0 && now.Before(p.originRetryAt) {
		p.originRetryAt, p.originFailures = now, 0
		p.orderFromOrigin()
	}
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

// FirstHosts returns the hosts that bring chunks to this one, without itself: for each chunk the
// first host of its region in the chunk's order, and, where this host is that one, the first
// host of all regions. The updates of these hosts show what can be fetched.
func FirstHosts(self Peer, peers []Peer, chunks int) []Peer {
	var firsts []Peer
	for chunk := range chunks {
		inRegion := firstHost(peers, chunk, func(p Peer) bool { return p.Region == self.Region })
		if inRegion.ID == self.ID {
			inRegion = firstHost(peers, chunk, func(Peer) bool { return true })
		}
		if inRegion.ID != self.ID && !slices.Contains(firsts, inRegion) {
			firsts = append(firsts, inRegion)
		}
	}
	return firsts
}

// Listers returns the hosts that ask the origin for what describes a version: the first hosts of each region in an order that
// differs between versions.
func Listers(peers []Peer, version int64, perRegion int) []Peer {
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(a, b Peer) int {
		return cmp.Compare(listerHash(b.ID, version), listerHash(a.ID, version))
	})
	counts := map[figbank.Region]int{}
	var listers []Peer
	for _, peer := range ordered {
		if counts[peer.Region]++; counts[peer.Region] <= perRegion {
			listers = append(listers, peer)
		}
	}
	return listers
}

func listerHash(id figbank.ProcessID, version int64) uint64 {
	return xxhash.Sum64String(string(id) + "/list/" + strconv.FormatInt(version, 10))
}

// HashOf returns a number that differs between hosts.
func HashOf(id figbank.ProcessID) uint64 {
	return xxhash.Sum64String(string(id))
}

// firstHost returns the first of the eligible hosts in a chunk's order.
func firstHost(peers []Peer, chunk int, eligible func(Peer) bool) Peer {
	var first Peer
	var highest uint64
	for _, peer := range peers {
		if !eligible(peer) {
			continue
		}
		if hash := rendezvousHash(peer.ID, chunk); first.ID == "" || hash > highest {
			first, highest = peer, hash
		}
	}
	return first
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
