package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"figbank/raft"
)

const (
	// operatorPatience is how long an operator goes on reading what was acknowledged.
	operatorPatience = 3 * time.Second
	// shortestOutage and longestOutage bound the time in which a lost host is down.
	shortestOutage, longestOutage = 500 * time.Millisecond, 1500 * time.Millisecond
)

// promiseSeeds is how many seeds TestNextLossInItsTimeLeavesMajority plays with each disturbance.
var promiseSeeds = flag.Uint64("promise.seeds", 20, "seeds of TestNextLossInItsTimeLeavesMajority")

// platformTiming holds the timeouts of deploy/settings.ini.
var platformTiming = raft.Timing{ElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond}

// disturbance is what a deployment bears beside the loss of a host.
type disturbance struct {
	name string
	// blocked is how long one link carries nothing between two losses.
	blocked time.Duration
	// lossPercent is how many of a hundred messages are lost.
	lossPercent int
}

// runFor advances the simulation by a time.
func (m *simulation) runFor(length time.Duration) {
	m.advance(int(length / simulationTick))
}

// runDisturbed advances the simulation by a time, in which one random link carries nothing for a while.
func (m *simulation) runDisturbed(random *rand.Rand, length, blocked time.Duration) {
	before := time.Duration(random.Int64N(int64(length - blocked + 1)))
	m.runFor(before)
	from := random.IntN(len(m.hosts))
	to := (from + 1 + random.IntN(len(m.hosts)-1)) % len(m.hosts)
	if blocked > 0 {
		m.blocked[[2]int{from, to}] = true
		m.blocked[[2]int{to, from}] = random.IntN(2) == 0
	}
	m.runFor(blocked)
	m.partition(0)
	m.runFor(length - before - blocked)
}

// loseSome loses as many random hosts at once as the deployment bears, or fewer, every third time the leader's
// too. It starts them, or their successors, again.
func (m *simulation) loseSome(random *rand.Rand) []string {
	order := random.Perm(len(m.hosts))
	if leader := m.leader(); leader != nil && random.IntN(3) == 0 {
		order[0] = slices.Index(m.hosts, leader)
	}
	lost := slices.Compact(order[:1+random.IntN(m.maxLostDisks)])
	for _, i := range lost {
		m.stop(m.hosts[i], true, 0)
	}
	m.runFor(shortestOutage + time.Duration(random.Int64N(int64(longestOutage-shortestOutage))))
	kinds := []struct {
		name  string
		start func(*simulatedHost)
	}{{name: "replaced", start: m.replace}, {name: "replaced", start: m.replace}, {name: "wiped", start: m.loseDisk}, {name: "killed", start: m.start}}
	var done []string
	for _, i := range lost {
		kind := kinds[random.IntN(len(kinds))]
		done = append(done, m.hosts[i].name()+" "+kind.name)
		kind.start(m.hosts[i])
	}
	return done
}

// readsWithin reports whether a read is answered within a time.
func (m *simulation) readsWithin(patience time.Duration) bool {
	for end := m.now.Add(patience); m.now.Before(end); {
		if leader := m.leader(); leader != nil {
			before := m.answered
			m.read(leader)
			m.advance(1)
			if m.answered > before {
				return true
			}
			continue
		}
		m.advance(1)
	}
	return false
}

// Hosts are lost one after another, each a fixed time after the one before it, or its successor, has started,
// as operators are promised. Between two losses a link fails for a moment or messages are lost, so leaders
// change while a voter is being replaced. If that undoes the repair, the next loss takes the majority for good.
func TestNextLossInItsTimeLeavesMajority(t *testing.T) {
	const lossCount = 6
	disturbances := []disturbance{
		{name: "none"},
		{name: "blocked for 300ms", blocked: 300 * time.Millisecond},
		{name: "blocked for 500ms", blocked: 500 * time.Millisecond},
		{name: "blocked for 700ms", blocked: 700 * time.Millisecond},
		{name: "blocked for 1s", blocked: time.Second},
		{name: "5% lost", lossPercent: 5},
		{name: "10% lost", lossPercent: 10},
	}
	for _, hosts := range []int{3, 5} {
		for _, d := range disturbances {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, d.name), func(t *testing.T) {
				failed := 0
				for seed := range *promiseSeeds {
					m := newSmallSimulation(t, seed, hosts, withTiming(platformTiming))
					m.publish(m.leader(), 1)
					m.advance(1)
					m.lossPercent = d.lossPercent
					random := rand.New(rand.NewPCG(seed, uint64(hosts)))
					var done []string
					for range lossCount {
						done = append(done, m.loseSome(random)...)
						m.runDisturbed(random, catchUpTicks*simulationTick, d.blocked)
					}
					m.lossPercent = 0
					if !m.readsWithin(operatorPatience) {
						failed++
						if failed == 1 {
							t.Logf("seed %d, after %v:%s", seed, done, m.describe())
						}
					}
				}
				if failed > 0 {
					t.Errorf("in %d of %d runs no read is answered at the end, want none", failed, *promiseSeeds)
				}
			})
		}
	}
}
