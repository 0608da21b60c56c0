package swarm

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"figbank"
)

// noteIdle remembers since when there was nothing to start.
func (p *Plan) noteIdle(now time.Time) {
	if p.idleSince.IsZero() {
		p.idleSince = now
	}
}

// turns is how many places before this host in line have had their time.
func (p *Plan) turns(now time.Time) int {
	turns := int(now.Sub(p.progress) / p.settings.StallTime)
	if p.settings.OneCopy && !p.idleSince.IsZero() {
		turns = max(turns, int(now.Sub(p.idleSince)/idleTurn))
	}
	return turns
}

// noteFailed notes from when on a chunk counts as one that peers fail to give;
// the earliest time stands.
func (p *Plan) noteFailed(chunk figbank.ChunkIndex, from time.Time) {
	if since, failed := p.failedAt[chunk]; !failed || from.Before(since) {
		p.failedAt[chunk] = from
	}
}

// failedTurns is how many places in line have had their time since a peer failed
// to give the chunk, or -1. Those that hold a chunk may all be slow, and asking
// each in turn takes longer than the origin.
func (p *Plan) failedTurns(chunk figbank.ChunkIndex, now time.Time) int {
	since, failed := p.failedAt[chunk]
	if !failed || now.Before(since) {
		return -1
	}
	return int(now.Sub(since) / idleTurn)
}

// patience is how many turns this host waits for those that hold the chunk,
// before it goes to the origin in their place.
func (p *Plan) patience(chunk figbank.ChunkIndex) int {
	switch {
	case p.heldNear(chunk) && !p.settings.OneCopy:
		return math.MaxInt32
	case p.heldNear(chunk):
		return nearTurns
	case p.settings.OneCopy && p.copies[chunk] > 0:
		return farTurns
	}
	return 0
}

// rankLine computes, for each chunk, this host's places in line, by rendezvous
// hashing.
func (p *Plan) rankLine() {
	p.line = make([]int, p.settings.Chunks)
	p.regionLine = make([]int, p.settings.Chunks)
	for chunk := range p.line {
		own := rank(p.settings.Self.ID, chunk)
		for _, other := range p.peers {
			if other.narrow && p.behind == 0 {
				continue
			}
			near := other.Region == p.settings.Self.Region
			if !near && !p.settings.OneCopy || rank(other.ID, chunk) <= own {
				continue
			}
			p.line[chunk]++
			if near {
				p.regionLine[chunk]++
			}
		}
	}
}

func rank(id figbank.ProcessID, chunk int) uint64 {
	return xxhash.Sum64String(string(id) + "/" + strconv.Itoa(chunk))
}
