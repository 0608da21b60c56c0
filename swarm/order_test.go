package swarm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"figbank"
)

// A host fetches two chunks from the origin at once. The origin asks it to wait after the first, and
// fails the second. The shorter wait after that must not replace the longer one.
func TestLaterFailureDoesNotShortenTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	plan := NewPlan(Settings{Self: Peer{ID: "h"}, Chunks: 4, InFlight: 4, StallTime: stallTime}, rand.New(rand.NewPCG(1, 1)), now)
	first, _ := plan.Next(now)
	second, _ := plan.Next(now)
	const wait = 10 * time.Second
	plan.FetchFailed(first, FailureBusy, wait, now)
	plan.FetchFailed(second, FailureUnreachable, 0, now)
	if fetch, found := plan.Next(now.Add(wait - time.Millisecond)); found {
		t.Errorf("Next() before the origin's wait has ended = %+v, want none", fetch)
	}
	if _, found := plan.Next(now.Add(wait)); !found {
		t.Error("Next() after the origin's wait = none, want a fetch from the origin")
	}
}

// Each chunk has one host that brings it, whichever host is asked, and the hosts that bring chunks
// into a region are followed by all others there.
func TestHostsThatBringChunks(t *testing.T) {
	sim := newSimulation(60, 3)
	bringing := map[figbank.ProcessID]bool{}
	for _, peer := range sim.peers {
		bringing[peer.ID] = BringsChunks(peer, sim.peers, 48)
	}
	for chunk := range 48 {
		first := firstHost(sim.peers, chunk, func(Peer) bool { return true })
		if !bringing[first.ID] {
			t.Errorf("host %s does not know that it brings chunk %d", first.ID, chunk)
		}
		for _, peer := range sim.peers {
			inRegion := firstHost(sim.peers, chunk, func(p Peer) bool { return p.Region == peer.Region })
			followed := FirstHosts(peer, sim.peers, 48)
			if peer.ID != inRegion.ID && !slices.Contains(followed, inRegion) {
				t.Errorf("host %s does not follow %s, which brings chunk %d into its region", peer.ID, inRegion.ID, chunk)
			}
			if peer.ID == inRegion.ID && peer.ID != first.ID && !slices.Contains(followed, first) {
				t.Errorf("host %s, first of its region for chunk %d, does not follow %s", peer.ID, chunk, first.ID)
			}
		}
	}
}

// The first host of a chunk is dead. The second one has other chunks to fetch from peers all the
// time. It must fetch the chunk from the origin soon all the same, since the origin may be lost.
func TestBusyHostReplacesADeadFirstHost(t *testing.T) {
	const gap, wanted = 25 * time.Millisecond, 3
	sim := newSimulation(12, 1)
	order := slices.SortedFunc(slices.Values(sim.peers), func(a, b Peer) int {
		return cmp.Compare(rendezvousHash(b.ID, wanted), rendezvousHash(a.ID, wanted))
	})
	now := sim.now
	plan := NewPlan(Settings{
		Self: order[1], Chunks: chunks, InFlight: 2, StallTime: stallTime, OneCopy: true, OriginGap: gap,
	}, rand.New(rand.NewPCG(1, 1)), now)
	plan.SetPeers(sim.peers)
	var held []figbank.ChunkIndex
	for chunk := range figbank.ChunkIndex(chunks) {
		if chunk != wanted {
			held = append(held, chunk)
		}
	}
	plan.AddPeerChunks(order[2].ID, held, now)
	plan.AddPeerChunks(order[3].ID, held, now)
	var running []Fetch
	for ; now.Before(sim.now.Add(time.Second)); now = now.Add(fetchTime) {
		for _, fetch := range running {
			plan.FetchDone(fetch, now)
		}
		running = nil
		for fetch, found := plan.Next(now); found; fetch, found = plan.Next(now) {
			if fetch.Chunk == wanted && fetch.Peer == "" {
				return
			}
			running = append(running, fetch)
		}
	}
	t.Error("the chunk of the dead host was not fetched from the origin within a second")
}
