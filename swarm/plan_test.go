package swarm

import (
	"math/rand/v2"
	"testing"
	"time"

	"figbank"
)

// TestNarrowHostsDoNotDelayOthers reduces the bandwidth of 5 of 14 hosts. The other hosts must be
// complete in at most 1.5 times the usual time, plus the time until the reduction is detected.
// Fetches by a host with reduced bandwidth, and from it, take narrowSlowdown times as long. If
// other hosts wait for its turns or fetch from it, they complete late. If they all turn to the
// origin instead, the origin sends too many copies.
func TestNarrowHostsDoNotDelayOthers(t *testing.T) {
	transferTime := func(narrow int) (time.Duration, float64) {
		sim := newSimulation(14, 3)
		sim.setOneCopy(true)
		sim.narrow = map[figbank.ProcessID]bool{}
		for i := range narrow {
			sim.narrow[sim.peers[2*i].ID] = true
		}
		began := sim.now
		for !sim.wideHostsComplete() {
			if sim.now.Sub(began) >= narrowDetectionTime {
				sim.detectNarrowLinks()
			}
			sim.startFetches()
			sim.now = sim.now.Add(fetchTime / 5)
			sim.endFetches()
		}
		return sim.now.Sub(began), sim.originCopies()
	}
	best, _ := transferTime(0)
	got, copies := transferTime(5)
	if most := narrowDetectionTime + 3*best/2; got > most {
		t.Errorf("hosts without a narrowed link are complete after %v, want at most %v: 1.5 times %v without narrow hosts, and %v until those are detected", got, most, best, narrowDetectionTime)
	}
	if copies > 1.5 {
		t.Errorf("copies from the origin = %.2f, want at most 1.5", copies)
	}
}

func TestPlan(t *testing.T) {
	scenarios := []struct {
		name       string
		hosts      int
		regions    int
		oneCopy    bool
		prepare    func(*simulation)
		wantCopies float64
	}{
		{name: "one host fetches one copy", hosts: 1, regions: 1, wantCopies: 1},
		{name: "one copy per region", hosts: 30, regions: 3, wantCopies: 3},
		{name: "one copy in total", hosts: 30, regions: 3, oneCopy: true, wantCopies: 1.1},
		{name: "the next host takes over the chunks of a dead host", hosts: 12, regions: 3, prepare: func(sim *simulation) { sim.dead["h00"] = true }, wantCopies: 3.15},
		{name: "a peer that sends corrupt chunks is avoided", hosts: 12, regions: 3, prepare: func(sim *simulation) { sim.corrupt["h01"] = true }, wantCopies: 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sim := newSimulation(s.hosts, s.regions)
			sim.setOneCopy(s.oneCopy)
			if s.prepare != nil {
				s.prepare(sim)
			}
			sim.run(t)
			if got := sim.originCopies(); got > s.wantCopies {
				t.Errorf("copies from the origin = %.2f, want at most %.2f", got, s.wantCopies)
			}
		})
	}
}

func TestOriginRetryAfterIsRespected(t *testing.T) {
	sim := newSimulation(1, 1)
	plan := sim.plans["h00"]
	fetch, found := plan.Next(sim.now)
	if !found || fetch.Peer != "" {
		t.Fatalf("Next() = %v, %t, want a fetch from the origin", fetch, found)
	}
	plan.FetchFailed(fetch, FailureBusy, 5*time.Second, sim.now)
	if _, found := plan.Next(sim.now.Add(4 * time.Second)); found {
		t.Error("Next() before the origin's Retry-After has passed: got a fetch, want none")
	}
	if _, found := plan.Next(sim.now.Add(5 * time.Second)); !found {
		t.Error("Next() after the origin's Retry-After has passed: got none, want a fetch")
	}
}

func TestNextPrefersNearAndRare(t *testing.T) {
	self := Peer{ID: "self", Region: "r", FailureDomain: "a"}
	near := Peer{ID: "near", Region: "r", FailureDomain: "a"}
	region := Peer{ID: "region", Region: "r", FailureDomain: "b"}
	far := Peer{ID: "far", Region: "q", FailureDomain: "c"}
	now := time.Unix(1000, 0)
	scenarios := []struct {
		name string
		have map[figbank.ProcessID][]figbank.ChunkIndex
		want Fetch
	}{
		{
			name: "the rarer chunk first", want: Fetch{Chunk: 1, Peer: "region"},
			have: map[figbank.ProcessID][]figbank.ChunkIndex{"near": {0}, "region": {0, 1}},
		},
		{
			name: "the nearer peer first", want: Fetch{Chunk: 0, Peer: "near"},
			have: map[figbank.ProcessID][]figbank.ChunkIndex{"near": {0}, "region": {0}, "far": {0}},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			plan := NewPlan(Settings{Self: self, Chunks: 2, InFlight: 1, StallTime: stallTime}, rand.New(rand.NewPCG(1, 1)), now)
			plan.originRetryAt = now.Add(time.Hour)
			plan.SetPeers([]Peer{self, near, region, far})
			for id, held := range s.have {
				plan.AddPeerChunks(id, held, now)
			}
			if got, _ := plan.Next(now); got != s.want {
				t.Errorf("Next() = %v, want %v", got, s.want)
			}
		})
	}
}

// A slow host is the first to fetch a chunk from the origin, but does not fetch it. In OneCopy
// mode, the second host must fetch the chunk after it has had no fetch to start for idleTurn. It
// must not wait until the region stalls, because other chunks may still be arriving. Outside
// OneCopy mode, it must fetch the chunk after the region has made no progress for stallTime.
func TestSlowHostLosesItsTurn(t *testing.T) {
	tests := []struct {
		name    string
		oneCopy bool
		want    time.Duration
	}{
		{"one copy in total: after an idle turn", true, idleTurn},
		{"one copy per region: after the stall time", false, stallTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			self, slow := rankedPair()
			plan := NewPlan(Settings{Self: self, Chunks: 1, InFlight: 1, StallTime: stallTime, OneCopy: test.oneCopy}, rand.New(rand.NewPCG(1, 1)), now)
			plan.SetPeers([]Peer{self, slow})
			if got, found := plan.Next(now); found {
				t.Fatalf("Next() at the start: got %v, want none", got)
			}
			if got, found := plan.Next(now.Add(test.want - time.Millisecond)); found {
				t.Errorf("Next() before the slow host's turn is over: got %v, want none", got)
			}
			got, found := plan.Next(now.Add(test.want))
			if want := (Fetch{Chunk: 0}); !found || got != want {
				t.Errorf("Next() after the slow host's turn: got %v, %t, want %v from the origin", got, found, want)
			}
		})
	}
}

// rankedPair returns two hosts of one region. first has the higher hash for chunk 0, so it may
// fetch that chunk from the origin before self.
func rankedPair() (self, first Peer) {
	a := Peer{ID: "a", Region: "r", FailureDomain: "d"}
	b := Peer{ID: "b", Region: "r", FailureDomain: "d"}
	if rendezvousHash(a.ID, 0) < rendezvousHash(b.ID, 0) {
		return a, b
	}
	return b, a
}

// A peer fails to deliver a chunk that it holds, for example because its link has reduced
// bandwidth. The first host in the order must then fetch the chunk from the origin at once, and the
// second host after idleTurn. A host whose own link has reduced bandwidth must wait narrowTurns
// more turns.
func TestOriginReplacesFailingPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := rankedPair()
	tests := []struct {
		name   string
		self   Peer
		narrow bool
		want   time.Duration
	}{
		{"ranks first", b, false, 0},
		{"ranks second", a, false, idleTurn},
		{"ranks first, narrowed link", b, true, narrowTurns * idleTurn},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holder := Peer{ID: "holder", Region: "r", FailureDomain: "d"}
			plan := NewPlan(Settings{Self: test.self, Chunks: 1, InFlight: 1, StallTime: stallTime, OneCopy: true}, rand.New(rand.NewPCG(1, 1)), now)
			plan.SetPeers([]Peer{a, b, holder})
			plan.SetLink(test.narrow, 1)
			// Rank the holder last, whatever its hash is.
			plan.originRank[0] = 0
			if test.self.ID == a.ID {
				plan.originRank[0] = 1
			}
			plan.AddPeerChunks(holder.ID, []figbank.ChunkIndex{0}, now)
			fetch, found := plan.Next(now)
			if !found || fetch.Peer != holder.ID {
				t.Fatalf("Next() = %v, %t, want a fetch from the holder", fetch, found)
			}
			plan.FetchFailed(fetch, FailureUnreachable, 0, now)
			if test.want > 0 {
				if got, found := plan.Next(now.Add(test.want - time.Millisecond)); found && got.Peer == "" {
					t.Errorf("Next() before this host's turn: got %v, want none from the origin", got)
				}
			}
			for len(plan.inFlight) > 0 {
				plan.FetchFailed(plan.inFlight[0], FailureUnreachable, 0, now)
			}
			got, found := plan.Next(now.Add(test.want))
			if want := (Fetch{Chunk: 0}); !found || got != want {
				t.Errorf("Next() at this host's turn: got %v, %t, want %v from the origin", got, found, want)
			}
		})
	}
}
