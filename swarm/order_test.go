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
	for chunk := range 48 {
		first := firstHost(sim.peers, chunk, func(Peer) bool { return true })
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

// All hosts of a region find the same listers, so few in each region that the origin's link is left for pieces.
func TestListers(t *testing.T) {
	sim := newSimulation(60, 3)
	listers := Listers(sim.peers, 2, 3)
	shuffled := slices.Clone(sim.peers)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	if again := Listers(shuffled, 2, 3); !slices.Equal(listers, again) {
		t.Errorf("another order of the peers gives the listers %v, want %v", again, listers)
	}
	counts := map[figbank.Region]int{}
	for _, lister := range listers {
		counts[lister.Region]++
	}
	for region, got := range counts {
		if got != 3 {
			t.Errorf("region %s has %d listers, want 3", region, got)
		}
	}
	if next := Listers(sim.peers, 3, 3); len(counts) != 3 || slices.Equal(listers, next) {
		t.Errorf("%d regions have listers, and those of the next version are %v, want others", len(counts), next)
	}
}

// The origin is lost for six seconds while it sends a version, and two thirds have left it. When it is back, the first host
// that hears of it lets the others go on at once, and each chunk leaves it about once.
func TestReturnOfTheOriginIsNoticed(t *testing.T) {
	const (
		hosts, gap = 40, 25 * time.Millisecond
		lostFrom   = 1500 * time.Millisecond
		backAt     = 7500 * time.Millisecond
		total      = 96
	)
	sim := newSimulation(hosts, 2)
	start := sim.now
	type arrival struct {
		at    time.Time
		host  int
		fetch Fetch
		err   bool
	}
	var plans []*Plan
	for _, peer := range sim.peers {
		plan := NewPlan(Settings{Self: peer, Chunks: total, InFlight: 6, StallTime: stallTime, OneCopy: true, OriginGap: gap}, rand.New(rand.NewPCG(1, uint64(len(plans)))), start)
		plan.SetPeers(sim.peers)
		plans = append(plans, plan)
	}
	var running []arrival
	originFree, sent, firsts := start, 0, map[figbank.ChunkIndex]time.Time{}
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(5 * time.Millisecond) {
		lost := now.After(start.Add(lostFrom)) && now.Before(start.Add(backAt))
		running = slices.DeleteFunc(running, func(a arrival) bool {
			if now.Before(a.at) {
				return false
			}
			if a.err || a.fetch.Peer == "" && lost {
				plans[a.host].FetchFailed(a.fetch, FailureUnreachable, 0, now)
				return true
			}
			plans[a.host].FetchDone(a.fetch, now)
			if a.fetch.Peer == "" {
				sent++
				if _, found := firsts[a.fetch.Chunk]; !found {
					firsts[a.fetch.Chunk] = now
				}
			}
			for i, plan := range plans {
				if i != a.host {
					plan.AddPeerChunks(sim.peers[a.host].ID, []figbank.ChunkIndex{a.fetch.Chunk}, now)
				}
			}
			return true
		})
		for host, plan := range plans {
			for fetch, found := plan.Next(now); found; fetch, found = plan.Next(now) {
				at := now.Add(20 * time.Millisecond)
				if fetch.Peer == "" && !lost {
					originFree = later(originFree, now).Add(gap)
					at = originFree
				}
				running = append(running, arrival{at: at, host: host, fetch: fetch, err: fetch.Peer == "" && lost})
			}
		}
	}
	last := time.Duration(0)
	for _, at := range firsts {
		last = max(last, at.Sub(start))
	}
	before := 0
	for _, at := range firsts {
		if at.Before(start.Add(lostFrom)) {
			before++
		}
	}
	bound := backAt + time.Duration(total-before)*gap
	if len(firsts) != total || last > bound+600*time.Millisecond {
		t.Errorf("%d of %d chunks have left the origin, the last after %v, want all by %v and a little", len(firsts), total, last, bound)
	}
	if sent > total*13/10 {
		t.Errorf("the origin has sent %d chunks, want at most 1.3 copies of %d", sent, total)
	}
}
