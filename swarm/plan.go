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
	// originDelay is the minimum delay between a failed fetch from the origin and the
	// next attempt.
	originDelay = time.Second
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

// FetchDone records that a fetch succeeded.
func (p *Plan) FetchDone(fetch Fetch, now time.Time) {
	p.endFetch(fetch)
	p.MarkHeld(fetch.Chunk, now)
}

// FetchFailed records that a fetch failed. After a fetch from a peer, failure is the reason, and
// wait is ignored. After a fetch from the origin, failure is ignored, and wait is how long the
// origin asked to wait before the next attempt, or 0.
func (p *Plan) FetchFailed(fetch Fetch, failure Failure, wait time.Duration, now time.Time) {
	p.endFetch(fetch)
	if fetch.Peer == "" {
		p.originRetryAt = later(p.originRetryAt, now.Add(max(wait, originDelay)))
		return
	}
	source, found := p.peers[fetch.Peer]
	if !found {
		return
	}
	switch failure {
	case FailureMissing:
		if source.have[fetch.Chunk] {
			source.have[fetch.Chunk] = false
			p.countCopies()
		}
	case FailureBusy:
		if p.copies[fetch.Chunk] < spreadCopies {
			p.markPeersFailed(fetch.Chunk, now.Add(busyWait))
		}
		source.retryAt = now.Add(busyDelay)
	case FailureUnreachable:
		p.markPeersFailed(fetch.Chunk, now)
		source.retryAt = now.Add(unreachableDelay)
	case FailureCorrupt:
		source.retryAt = now.Add(corruptDelay)
	}
}

// Next returns the fetch to start now, or false if there is none.
func (p *Plan) Next(now time.Time) (Fetch, bool) {
	if len(p.inFlight) >= p.settings.InFlight {
		return Fetch{}, false
	}
	fetch, found := p.nextFromOrigin(now)
	if !found {
		fetch, found = p.nextFromPeers(now)
	}
	if !found {
		p.markIdle(now)
		return Fetch{}, false
	}
	p.idleSince = time.Time{}
	p.inFlight[fetch.Chunk] = fetch
	if fetch.Peer == "" {
		p.originInFlight++
	} else {
		p.peers[fetch.Peer].inFlight++
	}
	return fetch, true
}

// nextFromOrigin picks a chunk that this host may fetch from the origin now, because enough turns
// have passed for its rank. The chunks are fetched one after the other: a chunk that leaves the
// origin at the full rate of its link can be passed on while the origin sends the next one. If peers hold the chunk, turnsForHolders more turns must have passed,
// unless the peers failed to deliver the chunk.
func (p *Plan) nextFromOrigin(now time.Time) (Fetch, bool) {
	if p.originInFlight >= max(1, p.settings.InFlight/originSlotDivisor) || now.Before(p.originRetryAt) {
		return Fetch{}, false
	}
	for chunk, rank := range p.originRank {
		index := figbank.ChunkIndex(chunk)
		if !p.wants(index) || now.Before(p.originTurn(index)) {
			continue
		}
		rank += p.extraTurns
		if rank+p.turnsForHolders(index) <= p.turnsPassed(index, now) || rank <= p.turnsSincePeersFailed(index, now) {
			return Fetch{Chunk: index}, true
		}
	}
	return Fetch{}, false
}

func (p *Plan) wants(chunk figbank.ChunkIndex) bool {
	_, running := p.inFlight[chunk]
	return !p.have[chunk] && !running
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

func (p *Plan) endFetch(fetch Fetch) {
	if _, running := p.inFlight[fetch.Chunk]; !running {
		return
	}
	delete(p.inFlight, fetch.Chunk)
	if fetch.Peer == "" {
		p.originInFlight--
		return
	}
	if source, found := p.peers[fetch.Peer]; found {
		source.inFlight = max(0, source.inFlight-1)
	}
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
