// Package swarm decides which chunk a host fetches next, and whether the source is a peer or the
// origin.
//
// For each chunk, rendezvous hashing orders the hosts. In each region, the first host in the order
// fetches the chunk from the origin. The other hosts fetch it from peers. A host fetches the rarest
// chunk first, from the nearest peer that holds it.
//
// The first host may be slow or dead. Therefore, with each turn that passes, one more host in the
// order may fetch the chunk from the origin. A turn is a fixed time in which the region makes no
// progress, or a fixed time after the holders of the chunk failed to deliver it.
//
// OneCopy mode is for an origin whose link is the bottleneck. Only one host of all regions fetches
// a chunk from the origin, and one host of each other region fetches it into that region. In this
// mode, turns also pass while a host has no fetch to start.
package swarm

import (
	"math/rand/v2"
	"time"

	"figbank"
)

const (
	// At most InFlight/originSlotDivisor fetches from the origin run at once, but always at
	// least one may.
	originSlotDivisor = 2
	// maxPerPeer limits the chunks requested from one peer at once.
	maxPerPeer = 2
	// A peer is not asked again for busyDelay after it was busy, for unreachableDelay after it
	// did not answer, and for corruptDelay after it sent bytes that failed verification.
	busyDelay        = 40 * time.Millisecond
	unreachableDelay = 2 * time.Second
	corruptDelay     = time.Minute
	// idleTurn is the length of a turn that does not depend on the region's progress. Such
	// turns pass in both modes after peers failed to deliver a chunk, and in OneCopy mode also
	// while a host has no fetch to start. They are needed because the first hosts in the order
	// may be slow while the region makes progress with other chunks.
	idleTurn = 250 * time.Millisecond
	// firstCopyTurn is the length of a turn for a chunk of which no copy is known. It is long
	// enough for the news of a first copy to reach the other regions.
	firstCopyTurn = 500 * time.Millisecond
	// quietTurn is the length of a turn for such a chunk while nothing new leaves the origin, whose link is then unused.
	quietTurn = 350 * time.Millisecond
	// In OneCopy mode, a host waits these numbers of additional turns before it fetches from
	// the origin a chunk that peers hold. otherRegionTurns applies if only peers in other
	// regions hold the chunk, sameRegionTurns if a peer in its region does.
	otherRegionTurns = 2
	sameRegionTurns  = 4
	// busyWait is the delay from a holder's busy answer until the requested chunk counts as one
	// that its holders failed to deliver.
	busyWait = 500 * time.Millisecond
	// A chunk that spreadCopies peers hold spreads further even if one of them is busy.
	spreadCopies = 3
	// narrowTurns is how many additional turns a host waits before it fetches from the origin
	// while its link has reduced bandwidth.
	narrowTurns = 8
	// firstOriginDelay is the delay between a failed fetch from the origin and the next attempt. It doubles with each
	// failure in a row, up to maxOriginDelay: hundreds of hosts may wait for the origin to return.
	firstOriginDelay = 250 * time.Millisecond
	maxOriginDelay   = time.Second
)

// The causes of a failed fetch.
const (
	FailureBusy Failure = iota
	FailureMissing
	FailureUnreachable
	FailureCorrupt
)

// The distances to a peer, the nearest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

type (
	// Failure is the reason why a fetch failed.
	Failure int

	// Peer is a host that fetches the same weights.
	Peer struct {
		ID            figbank.ProcessID
		Address       figbank.Address
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
	}

	// Fetch says which chunk to fetch from which peer. An empty Peer means the origin.
	Fetch struct {
		Chunk   figbank.ChunkIndex
		Peer    figbank.ProcessID
		Address figbank.Address
	}

	// Settings configure a plan.
	Settings struct {
		Self Peer
		// Chunks is the number of chunks in the manifest.
		Chunks int
		// InFlight is the maximum number of fetches that run at once.
		InFlight int
		// StallTime is how long a region may go without a new chunk before the next host
		// in the order fetches from the origin.
		StallTime time.Duration
		// OriginDelay is how long the plan waits before the first fetch from the origin,
		// so that peers can report the chunks they hold.
		OriginDelay time.Duration
		// OneCopy is set if each chunk is to leave the origin once in total, rather than
		// once for each region.
		OneCopy bool
		// OriginGap is the time that the origin takes to send one chunk at the full rate of its
		// link, 0 if that rate is unknown.
		OriginGap time.Duration
	}

	// Plan holds one host's view of one transfer and decides which fetch to start
	// next. It is not safe for concurrent use.
	Plan struct {
		settings Settings
		random   *rand.Rand
		have     []bool
		missing  int
		inFlight map[figbank.ChunkIndex]Fetch
		peers    map[figbank.ProcessID]*peer
		// copies counts the peers that hold each chunk. Peers whose link has reduced
		// bandwidth are not counted.
		copies []int
		// lastProgress is when a host of this region last got a chunk of which no other
		// copy was known, in any region. At first, it is when the plan was created.
		lastProgress time.Time
		// lastFirstCopy is when a chunk of which no copy was known became known, in any region.
		lastFirstCopy time.Time
		// idleSince is when this host ran out of fetches to start. It is zero after a fetch
		// was started.
		idleSince time.Time
		// originRank is, for each chunk, how many hosts may fetch the chunk from the origin
		// before this one. regionRank is, for each chunk, how many hosts of this region may
		// fetch the chunk from another region before this one.
		originRank []int
		regionRank []int
		// originRetryAt is the earliest time of the next fetch from the origin.
		originRetryAt  time.Time
		originInFlight int
		// originFailures counts the failed fetches from the origin in a row.
		originFailures int
		// originOrder is the position of each chunk among those that nobody was known to hold at originRetryAt. The origin
		// sends them in that order.
		originOrder []int
		// peersFailedAt holds, for each chunk that its holders failed to deliver, the time
		// from which the failure counts. That time may be in the future.
		peersFailedAt map[figbank.ChunkIndex]time.Time
		// extraTurns is how many turns this host waits in addition to its rank before it
		// fetches from the origin. It is 0 unless this host's link has reduced bandwidth.
		extraTurns int
	}

	peer struct {
		Peer
		// narrow is set while the peer's link has reduced bandwidth. A chunk that only such
		// peers hold counts as held by nobody.
		narrow   bool
		have     []bool
		distance int
		// retryAt is the earliest time of the next fetch from the peer.
		retryAt  time.Time
		inFlight int
	}
)

// NewPlan returns a plan for a host that holds no chunk yet.
func NewPlan(settings Settings, random *rand.Rand, now time.Time) *Plan {
	p := &Plan{
		settings: settings, random: random,
		have:          make([]bool, settings.Chunks),
		missing:       settings.Chunks,
		inFlight:      map[figbank.ChunkIndex]Fetch{},
		peers:         map[figbank.ProcessID]*peer{},
		copies:        make([]int, settings.Chunks),
		peersFailedAt: map[figbank.ChunkIndex]time.Time{},
		lastProgress:  now, originRetryAt: now.Add(settings.OriginDelay),
	}
	p.computeRanks()
	p.orderFromOrigin()
	return p
}

// SetLink sets whether this host's link has reduced bandwidth, and the maximum number of fetches
// that run at once. With reduced bandwidth, the host waits narrowTurns more turns before it fetches
// from the origin, since its link is too slow to pass the chunks on to peers.
func (p *Plan) SetLink(narrow bool, inFlight int) {
	p.settings.InFlight = inFlight
	if narrow == (p.extraTurns > 0) {
		return
	}
	p.extraTurns = 0
	if narrow {
		p.extraTurns = narrowTurns
	}
	p.computeRanks()
}

// SetPeerNarrow records whether a peer's link has reduced bandwidth. A host with full bandwidth
// does not wait for the turns of such peers. No host waits for chunks that only such peers hold.
func (p *Plan) SetPeerNarrow(id figbank.ProcessID, narrow bool) {
	if known, found := p.peers[id]; found && known.narrow != narrow {
		known.narrow = narrow
		p.countCopies()
		p.computeRanks()
	}
}

// SetPeers replaces the list of peers. It preserves the state of peers whose address is
// unchanged.
func (p *Plan) SetPeers(peers []Peer) {
	known := p.peers
	p.peers = map[figbank.ProcessID]*peer{}
	for _, listed := range peers {
		if listed.ID == p.settings.Self.ID {
			continue
		}
		next := known[listed.ID]
		if next == nil || next.Address != listed.Address {
			next = &peer{Peer: listed, have: make([]bool, p.settings.Chunks), distance: p.distance(listed)}
		}
		p.peers[listed.ID] = next
	}
	p.countCopies()
	p.computeRanks()
}

// AddPeerChunks records chunks that a peer holds. It ignores unknown peers and chunks
// that are not in the manifest.
func (p *Plan) AddPeerChunks(id figbank.ProcessID, chunks []figbank.ChunkIndex, now time.Time) {
	holder, found := p.peers[id]
	if !found {
		return
	}
	for _, chunk := range chunks {
		if int(chunk) >= len(holder.have) || holder.have[chunk] {
			continue
		}
		holder.have[chunk] = true
		if holder.narrow {
			continue
		}
		p.copies[chunk]++
		if p.copies[chunk] > 1 || p.have[chunk] {
			continue
		}
		p.lastFirstCopy = now
		p.noticeOrigin(now)
		if holder.distance != otherRegion {
			p.lastProgress = now
		}
	}
}

// ForgetPeerChunks clears the chunks that a peer is known to hold, because the peer
// may have restarted without them.
func (p *Plan) ForgetPeerChunks(id figbank.ProcessID) {
	if lost, found := p.peers[id]; found {
		lost.have = make([]bool, p.settings.Chunks)
		p.countCopies()
	}
}

// MarkHeld records that this host holds a chunk.
func (p *Plan) MarkHeld(chunk figbank.ChunkIndex, now time.Time) {
	if p.have[chunk] {
		return
	}
	p.have[chunk] = true
	p.missing--
	delete(p.peersFailedAt, chunk)
	if p.copies[chunk] == 0 {
		p.lastProgress, p.lastFirstCopy = now, now
	}
}

// MarkLost records that this host no longer holds a chunk, because it is corrupt on
// disk.
func (p *Plan) MarkLost(chunk figbank.ChunkIndex) {
	if p.have[chunk] {
		p.have[chunk] = false
		p.missing++
	}
}

// Complete reports whether this host holds every chunk.
func (p *Plan) Complete() bool {
	return p.missing == 0
}

// InSight reports whether each chunk is held by this host or by a peer that it follows.
func (p *Plan) InSight() bool {
	for chunk, held := range p.have {
		if !held && p.copies[chunk] == 0 {
			return false
		}
	}
	return true
}

// heldInRegion reports whether a peer of this region holds the chunk. Peers whose link has reduced
// bandwidth do not count.
func (p *Plan) heldInRegion(chunk figbank.ChunkIndex) bool {
	if p.copies[chunk] == 0 {
		return false
	}
	for _, candidate := range p.peers {
		if candidate.distance != otherRegion && !candidate.narrow && candidate.have[chunk] {
			return true
		}
	}
	return false
}

func (p *Plan) countCopies() {
	clear(p.copies)
	for _, holder := range p.peers {
		for chunk, has := range holder.have {
			if has && !holder.narrow {
				p.copies[chunk]++
			}
		}
	}
}

func (p *Plan) distance(other Peer) int {
	switch {
	case other.FailureDomain == p.settings.Self.FailureDomain:
		return sameDomain
	case other.Region == p.settings.Self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}
