package swarm

import (
	"time"

	"figbank"
)

// FetchDone records that a fetch succeeded.
func (p *Plan) FetchDone(fetch Fetch, now time.Time) {
	p.endFetch(fetch)
	if fetch.Peer == "" {
		p.originFailures = 0
	}
	p.MarkHeld(fetch.Chunk, now)
}

// FetchFailed records that a fetch failed. After a fetch from a peer, failure is the reason, and
// wait is ignored. After a fetch from the origin, failure is ignored, and wait is how long the
// origin asked to wait before the next attempt, or 0.
func (p *Plan) FetchFailed(fetch Fetch, failure Failure, wait time.Duration, now time.Time) {
	p.endFetch(fetch)
	if fetch.Peer == "" {
		delay := min(firstOriginDelay<<min(p.originFailures, 8), maxOriginDelay)
		p.originFailures++
		p.originRetryAt = later(p.originRetryAt, now.Add(max(wait, delay)))
		p.orderFromOrigin()
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
	firstCopiesOnly := p.settings.OneCopy && p.settings.OriginGap > 0 && !p.InSight()
	for chunk, rank := range p.originRank {
		index := figbank.ChunkIndex(chunk)
		if !p.wants(index) || now.Before(p.originTurn(index)) {
			continue
		}
		if firstCopiesOnly && p.copies[chunk] > 0 && now.Sub(p.lastFirstCopy) < p.settings.StallTime {
			// The origin's link is for chunks that nobody holds.
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
