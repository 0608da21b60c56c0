package rollout

import "time"

const (
	// minServiceTime is how long requests must still be able to begin on a version, so that a
	// host finishes its transfer or its engine switches to it.
	minServiceTime = 2 * time.Second
	// minKeptShare is the share of a version that must be on a host, so that its transfer is
	// finished although a newer version has been named.
	minKeptShare = 0.1
	// copySlowdown is how much longer a transfer is expected to take than the host's link
	// needs. A transfer without a new chunk for stalledTime is not expected to end.
	copySlowdown = 1.5
	stalledTime  = 1500 * time.Millisecond
	// switchTime is how long the upstreams of a failure domain take to switch one after the
	// other, once the version is on their hosts.
	switchTime = 2500 * time.Millisecond
)

type (
	// Candidate is a named version that is newer than the one that an engine has loaded.
	Candidate struct {
		Number int64
		// ServableFor is how much longer requests may begin on the version. Newest tells that
		// there is no newer version, so that there is no such limit.
		ServableFor time.Duration
		Newest      bool
		// Held is set if the whole version is on the host.
		Held bool
	}

	// Transfer is the fetch that is under way on a host.
	Transfer struct {
		// Version is 0 if nothing is fetched.
		Version int64
		// Share is the share of the version that is on the host, from 0 to 1.
		Share float64
		// IdleFor is the time since the last chunk arrived or, if none has, since the start.
		IdleFor time.Duration
		// CopyTime is the time that the host's link needs for a whole copy.
		CopyTime time.Duration
	}

	// Choice says which version a host fetches, and which one its engine loads next.
	Choice struct {
		Fetch, Load int64
	}
)

// Choose decides between versions that are named shortly after each other, while the origin may
// be lost or slow. candidates are in ascending order and not empty. loadedFor is how much longer
// requests may begin on the version that the engine has loaded, 0 or less if it has none.
//
// A host finishes the transfer of an older version if that version can still serve for a while:
// if the transfer were thrown away, and the newer version came late, nothing could be served in
// between. The engine loads an older version only if the newest one is not expected in time, since
// each switch takes the engine out of service.
func Choose(candidates []Candidate, transfer Transfer, loadedFor time.Duration) Choice {
	newest := candidates[len(candidates)-1]
	choice := Choice{Fetch: newest.Number, Load: newest.Number}
	if newest.Held {
		return choice
	}
	for _, candidate := range candidates {
		if candidate.Number == transfer.Version && transfer.worthFinishing(candidate) {
			choice.Fetch = candidate.Number
		}
	}
	if transfer.Version == newest.Number && transfer.endsWithin(loadedFor-switchTime) {
		return choice
	}
	choice.Load = choice.Fetch
	for _, candidate := range candidates {
		if candidate.Held && candidate.ServableFor >= minServiceTime {
			choice.Load = candidate.Number
		}
	}
	return choice
}

// worthFinishing reports whether the transfer of a version ends early enough for it to serve.
func (t Transfer) worthFinishing(candidate Candidate) bool {
	if candidate.Newest {
		return true
	}
	return !candidate.Held && t.Share >= minKeptShare && t.endsWithin(candidate.ServableFor-minServiceTime)
}

// endsWithin reports whether the transfer is expected to end within d.
func (t Transfer) endsWithin(d time.Duration) bool {
	left := time.Duration(float64(t.CopyTime) * (1 - t.Share) * copySlowdown)
	return t.IdleFor < stalledTime && left <= d
}
