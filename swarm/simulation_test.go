package swarm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"figbank"
)

const (
	chunks    = 120
	stallTime = 2 * time.Second
	fetchTime = 50 * time.Millisecond
	// narrowSlowdown is how many times longer a fetch takes over a link with reduced
	// bandwidth. narrowDetectionTime is how long a host takes to detect the reduction.
	narrowSlowdown      = 8
	narrowDetectionTime = time.Second
)

type (
	// simulation runs the plans of several hosts in virtual time: each fetch takes
	// fetchTime, and peers learn of a new chunk at once.
	simulation struct {
		now           time.Time
		peers         []Peer
		plans         map[figbank.ProcessID]*Plan
		running       []runningFetch
		originFetches int
		// Hosts in dead answer nothing. Hosts in corrupt send bytes that fail verification.
		dead, corrupt map[figbank.ProcessID]bool
		// Hosts in narrow have a link with reduced bandwidth. Each fetch to or from such a
		// host takes narrowSlowdown times as long.
		narrow map[figbank.ProcessID]bool
	}

	runningFetch struct {
		host  figbank.ProcessID
		fetch Fetch
		ends  time.Time
	}
)

func newSimulation(count, regions int) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), plans: map[figbank.ProcessID]*Plan{},
		dead: map[figbank.ProcessID]bool{}, corrupt: map[figbank.ProcessID]bool{},
	}
	for i := range count {
		region := fmt.Sprintf("r%d", i%regions)
		sim.peers = append(sim.peers, Peer{
			ID: figbank.ProcessID(fmt.Sprintf("h%02d", i)), Region: figbank.Region(region),
			FailureDomain: figbank.FailureDomain(region),
		})
	}
	for i, peer := range sim.peers {
		plan := NewPlan(Settings{Self: peer, Chunks: chunks, InFlight: 4, StallTime: stallTime}, rand.New(rand.NewPCG(uint64(i), 9)), sim.now)
		plan.SetPeers(sim.peers)
		sim.plans[peer.ID] = plan
	}
	return sim
}

func (sim *simulation) setOneCopy(oneCopy bool) {
	for _, plan := range sim.plans {
		plan.settings.OneCopy = oneCopy
		plan.SetPeers(sim.peers)
	}
}

func (sim *simulation) run(t *testing.T) {
	t.Helper()
	end := sim.now.Add(5 * time.Minute)
	for !sim.complete() {
		if sim.now.After(end) {
			t.Fatal("not all hosts hold every chunk after five minutes")
		}
		sim.startFetches()
		sim.now = sim.now.Add(fetchTime / 5)
		sim.endFetches()
	}
}

func (sim *simulation) startFetches() {
	for _, peer := range sim.peers {
		if sim.dead[peer.ID] {
			continue
		}
		for {
			fetch, found := sim.plans[peer.ID].Next(sim.now)
			if !found {
				break
			}
			sim.running = append(sim.running, runningFetch{host: peer.ID, fetch: fetch, ends: sim.now.Add(sim.fetchTime(peer.ID, fetch.Peer))})
		}
	}
}

// fetchTime returns how long host takes to fetch a chunk from source. An empty source
// is the origin.
func (sim *simulation) fetchTime(host, source figbank.ProcessID) time.Duration {
	if sim.narrow[host] || sim.narrow[source] {
		return narrowSlowdown * fetchTime
	}
	return fetchTime
}

// detectNarrowLinks reports each host in narrow to its own plan and to those of all other hosts.
func (sim *simulation) detectNarrowLinks() {
	for id := range sim.narrow {
		sim.plans[id].SetLink(true, 1)
		for _, plan := range sim.plans {
			plan.SetPeerNarrow(id, true)
		}
	}
}

// wideHostsComplete reports whether all hosts with full bandwidth hold every chunk.
func (sim *simulation) wideHostsComplete() bool {
	for _, peer := range sim.peers {
		if !sim.narrow[peer.ID] && !sim.plans[peer.ID].Complete() {
			return false
		}
	}
	return true
}

func (sim *simulation) endFetches() {
	running := slices.Clone(sim.running)
	sim.running = slices.DeleteFunc(sim.running, func(r runningFetch) bool { return !r.ends.After(sim.now) })
	for _, r := range running {
		if r.ends.After(sim.now) {
			continue
		}
		plan := sim.plans[r.host]
		switch {
		case sim.dead[r.fetch.Peer]:
			plan.FetchFailed(r.fetch, FailureUnreachable, 0, sim.now)
			continue
		case sim.corrupt[r.fetch.Peer]:
			plan.FetchFailed(r.fetch, FailureCorrupt, 0, sim.now)
			continue
		case r.fetch.Peer == "":
			sim.originFetches++
		}
		plan.FetchDone(r.fetch, sim.now)
		for _, other := range sim.peers {
			sim.plans[other.ID].AddPeerChunks(r.host, []figbank.ChunkIndex{r.fetch.Chunk}, sim.now)
		}
	}
}

func (sim *simulation) complete() bool {
	for _, peer := range sim.peers {
		if !sim.dead[peer.ID] && !sim.plans[peer.ID].Complete() {
			return false
		}
	}
	return true
}

func (sim *simulation) originCopies() float64 {
	return float64(sim.originFetches) / chunks
}
