// Package swarm decides which chunk a host fetches next, and from whom. One
// host of each region, chosen by rendezvous hashing, takes a chunk from the
// origin; the others take it from peers, the nearest first and the rarest chunk
// first. The next in line goes to the origin when the region stalls. Where the
// origin's link is the bottleneck, one host of all takes a chunk from the
// origin, and one host of each other region brings it there.
package swarm

import (
	"math/rand/v2"
	"time"

	"figbank"
)

const (
	// originShare of the slots may be used for the origin at once: one in
	// originShare, but at least one.
	originShare = 2
	// perPeer bounds the chunks asked of one peer at once.
	perPeer = 2
	// busyDelay, lostDelay and badDelay are how long a peer is left alone after it
	// was busy, did not answer, or sent bytes that failed their check.
	busyDelay = 40 * time.Millisecond
	lostDelay = 2 * time.Second
	badDelay  = time.Minute
	// idleTurn is how long a host that has nothing else to fetch waits for each
	// place before it in line: those may be slow although the region progresses.
	idleTurn = 250 * time.Millisecond
	// farTurns and nearTurns are how many turns a host waits for the only holders
	// of a chunk, elsewhere or in its region, before it goes to the origin itself.
	farTurns  = 2
	nearTurns = 4
	// busyPatience is how long busy holders of a chunk are waited for before it
	// counts as one that peers fail to give.
	busyPatience = 500 * time.Millisecond
	// narrowTurns is how many turns a host on a narrowed link leaves to others.
	narrowTurns = 8
	// originDelay is how long the origin is left alone after a failure.
	originDelay = time.Second
)

// Failures of a fetch.
const (
	Busy Failure = iota
	Missing
	Lost
	Bad
)

// Distances to a peer.
const (
	sameDomain = iota
	sameRegion
	elsewhere
)

type (
	// Failure says why a fetch did not bring its chunk.
	Failure int

	// Peer is another host that wants the same weights.
	Peer struct {
		ID            figbank.ProcessID
		Address       figbank.Address
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
	}

	// Fetch is one decision: which chunk from whom. An empty peer is the origin.
	Fetch struct {
		Chunk   figbank.ChunkIndex
		Peer    figbank.ProcessID
		Address figbank.Address
	}

	// Settings of a plan.
	Settings struct {
		Self Peer
		// Chunks is the number of chunks in the manifest.
		Chunks int
		// InFlight is how many fetches may run at once.
		InFlight int
		// StallTime is how long a region may go without a new chunk before the next
		// in line goes to the origin.
		StallTime time.Duration
		// OriginDelay is how long peers have to say what they hold before this host
		// goes to the origin.
		OriginDelay time.Duration
		// OneCopy is set when each chunk leaves the origin once, not once a region.
		OneCopy bool
	}

	// Plan is one host's view of one transfer. It is not safe for concurrent use.
	Plan struct {
		settings Settings
		random   *rand.Rand
		have     []bool
		missing  int
		inFlight map[figbank.ChunkIndex]Fetch
		peers    map[figbank.ProcessID]*peer
		// copies counts the peers that hold each chunk, but for narrow ones.
		copies []int
		// progress is when the region last got a chunk that it did not have.
		progress time.Time
		// idleSince is when this host last had nothing to fetch, zero while it has.
		idleSince time.Time
		// line is this host's place in the line to the origin, regionLine in the line
		// of its region to other regions, for each chunk.
		line        []int
		regionLine  []int
		originUntil time.Time
		atOrigin    int
		// failedAt is from when on a chunk counts as one that peers fail to give.
		failedAt map[figbank.ChunkIndex]time.Time
		// behind is how many further turns this host leaves to others.
		behind int
	}

	peer struct {
		Peer
		// narrow peers' links have been narrowed: what only they hold counts as held
		// by nobody.
		narrow   bool
		have     []bool
		distance int
		until    time.Time
		inFlight int
	}
)

// NewPlan starts a plan in which this host has nothing yet.
func NewPlan(settings Settings, random *rand.Rand, now time.Time) *Plan {
	p := &Plan{
		settings: settings, random: random,
		have:     make([]bool, settings.Chunks),
		missing:  settings.Chunks,
		inFlight: map[figbank.ChunkIndex]Fetch{},
		peers:    map[figbank.ProcessID]*peer{},
		copies:   make([]int, settings.Chunks),
		failedAt: map[figbank.ChunkIndex]time.Time{},
		progress: now, originUntil: now.Add(settings.OriginDelay),
	}
	p.rankLine()
	return p
}

// SetLink tells the plan whether this host's link is narrowed, and how many
// fetches may run at once. Who has a narrow link leaves the origin to others:
// what it took there, nobody could take from it.
func (p *Plan) SetLink(narrow bool, inFlight int) {
	p.settings.InFlight = inFlight
	if narrow == (p.behind > 0) {
		return
	}
	p.behind = 0
	if narrow {
		p.behind = narrowTurns
	}
	p.rankLine()
}

// PeerNarrow notes whether a peer's link is narrowed. Nobody waits in line behind
// a host on a narrowed link, nor for what only such hosts hold.
func (p *Plan) PeerNarrow(id figbank.ProcessID, narrow bool) {
	if known, found := p.peers[id]; found && known.narrow != narrow {
		known.narrow = narrow
		p.countCopies()
		p.rankLine()
	}
}

// SetPeers replaces the list of peers; what is known of those that stay is kept.
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
	p.rankLine()
}

// PeerHas notes chunks that a peer holds.
func (p *Plan) PeerHas(id figbank.ProcessID, chunks []figbank.ChunkIndex, now time.Time) {
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
		if holder.distance != elsewhere && p.copies[chunk] == 1 && !p.have[chunk] {
			p.progress = now
		}
	}
}

// PeerLost forgets what a peer holds, since its host may have restarted.
func (p *Plan) PeerLost(id figbank.ProcessID) {
	if lost, found := p.peers[id]; found {
		lost.have = make([]bool, p.settings.Chunks)
		p.countCopies()
	}
}

// Have notes that this host holds a chunk.
func (p *Plan) Have(chunk figbank.ChunkIndex, now time.Time) {
	if p.have[chunk] {
		return
	}
	p.have[chunk] = true
	p.missing--
	delete(p.failedAt, chunk)
	if p.copies[chunk] == 0 {
		p.progress = now
	}
}

// Lose notes that a chunk on disk turned out to be bad.
func (p *Plan) Lose(chunk figbank.ChunkIndex) {
	if p.have[chunk] {
		p.have[chunk] = false
		p.missing++
	}
}

// Whole tells whether this host holds every chunk.
func (p *Plan) Whole() bool {
	return p.missing == 0
}

// Done notes that a fetch brought its chunk.
func (p *Plan) Done(fetch Fetch, now time.Time) {
	p.end(fetch)
	p.Have(fetch.Chunk, now)
}

// Failed notes that a fetch did not bring its chunk. A positive wait is what
// the source asked for.
func (p *Plan) Failed(fetch Fetch, failure Failure, wait time.Duration, now time.Time) {
	p.end(fetch)
	if fetch.Peer == "" {
		p.originUntil = now.Add(max(wait, originDelay))
		return
	}
	source, found := p.peers[fetch.Peer]
	if !found {
		return
	}
	switch failure {
	case Missing:
		if source.have[fetch.Chunk] {
			source.have[fetch.Chunk] = false
			p.countCopies()
		}
	case Busy:
		p.noteFailed(fetch.Chunk, now.Add(busyPatience))
		source.until = now.Add(busyDelay)
	case Lost:
		p.noteFailed(fetch.Chunk, now)
		source.until = now.Add(lostDelay)
	case Bad:
		source.until = now.Add(badDelay)
	}
}

// Next returns the fetch to start now, or false when there is none.
func (p *Plan) Next(now time.Time) (Fetch, bool) {
	if len(p.inFlight) >= p.settings.InFlight {
		return Fetch{}, false
	}
	fetch, found := p.nextFromOrigin(now)
	if !found {
		fetch, found = p.nextFromPeers(now)
	}
	if !found {
		p.noteIdle(now)
		return Fetch{}, false
	}
	p.idleSince = time.Time{}
	p.inFlight[fetch.Chunk] = fetch
	if fetch.Peer == "" {
		p.atOrigin++
	} else {
		p.peers[fetch.Peer].inFlight++
	}
	return fetch, true
}

// nextFromOrigin picks a chunk that no peer holds and for which it is this
// host's turn.
func (p *Plan) nextFromOrigin(now time.Time) (Fetch, bool) {
	if p.atOrigin >= max(1, p.settings.InFlight/originShare) || now.Before(p.originUntil) {
		return Fetch{}, false
	}
	turns := p.turns(now)
	for chunk, place := range p.line {
		index := figbank.ChunkIndex(chunk)
		if p.wants(index) && (place+p.behind+p.patience(index) <= turns || place+p.behind <= p.failedTurns(index, now)) {
			return Fetch{Chunk: index}, true
		}
	}
	return Fetch{}, false
}

func (p *Plan) wants(chunk figbank.ChunkIndex) bool {
	_, running := p.inFlight[chunk]
	return !p.have[chunk] && !running
}

// heldNear tells whether a peer of this region holds the chunk.
func (p *Plan) heldNear(chunk figbank.ChunkIndex) bool {
	if p.copies[chunk] == 0 {
		return false
	}
	for _, candidate := range p.peers {
		if candidate.distance != elsewhere && !candidate.narrow && candidate.have[chunk] {
			return true
		}
	}
	return false
}

func (p *Plan) end(fetch Fetch) {
	if _, running := p.inFlight[fetch.Chunk]; !running {
		return
	}
	delete(p.inFlight, fetch.Chunk)
	if fetch.Peer == "" {
		p.atOrigin--
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
		return elsewhere
	}
}
