package replica

import (
	"testing"

	"pgregory.net/rapid"
)

// TestReplicasAgainstRegister runs the simulation with random commands, crashes, torn writes,
// failing syncs, lost disks, planned departures, links blocked in one direction, and lost and
// duplicated messages. No read may return less than what was acknowledged before it. All replicas
// must have the same state at the same index of the log. After all faults have ended, the log must
// accept commands again. The actions that advance the time and that start a replica are listed
// twice, so that they are drawn more often.
func TestReplicasAgainstRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "lost disks"), t.Fatalf)
		m.advance(60)
		host := func(t *rapid.T) *simulatedHost { return m.hosts[rapid.IntRange(0, hostCount-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes":      func(t *rapid.T) { m.advance(rapid.IntRange(1, 25).Draw(t, "ticks")) },
			"more time passes": func(t *rapid.T) { m.advance(rapid.IntRange(5, 50).Draw(t, "ticks")) },
			"publish": func(t *rapid.T) {
				m.lastNumber++
				m.publish(m.leaderOr(host(t)), m.lastNumber)
			},
			"publish many": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "count") {
					m.lastNumber++
					m.publish(m.leaderOr(host(t)), m.lastNumber)
				}
			},
			"publish at any replica": func(t *rapid.T) {
				m.lastNumber++
				m.publish(host(t), m.lastNumber)
			},
			"publish an old number": func(t *rapid.T) { m.publish(m.leaderOr(host(t)), 1+m.lastNumber/2) },
			"read":                  func(t *rapid.T) { m.read(m.leaderOr(host(t))) },
			"read at any replica":   func(t *rapid.T) { m.read(host(t)) },
			"evacuate":              func(t *rapid.T) { m.evacuate(m.leaderOr(host(t)), "a", rapid.Bool().Draw(t, "withdraw")) },
			"stop": func(t *rapid.T) {
				m.stop(host(t), rapid.Bool().Draw(t, "power"), rapid.IntRange(0, 200).Draw(t, "torn"))
			},
			"all lose power": func(t *rapid.T) {
				for _, h := range m.hosts {
					m.stop(h, true, rapid.IntRange(0, 200).Draw(t, "torn"))
				}
				m.startAll()
			},
			"start":      func(t *rapid.T) { m.startOne(host(t).index) },
			"start one":  func(t *rapid.T) { m.startOne(host(t).index) },
			"start all":  func(*rapid.T) { m.startAll() },
			"syncs fail": func(t *rapid.T) { host(t).disk.FailSyncs() },
			"syncs work": func(t *rapid.T) { host(t).disk.HealSyncs() },
			"lose a disk": func(t *rapid.T) {
				if h := host(t); m.canLoseDisk() {
					m.loseDisk(h)
				}
			},
			"leave":            func(t *rapid.T) { host(t).leaving = rapid.Bool().Draw(t, "leaving") },
			"cut a link":       func(t *rapid.T) { m.blocked[[2]int{host(t).index, host(t).index}] = true },
			"split hosts":      func(t *rapid.T) { m.partition(rapid.IntRange(1, 1<<hostCount-2).Draw(t, "side")) },
			"mend all links":   func(*rapid.T) { m.blocked = map[[2]int]bool{} },
			"loss of messages": func(t *rapid.T) { m.lossPercent = rapid.IntRange(0, 30).Draw(t, "percent") },
			"silence for long": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
					m.advance(silenceTicks)
				}
			},
			"well again after a heal": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
					m.heal()
					m.advance(silenceTicks)
				}
			},
		})
		m.heal()
		m.advance(2 * silenceTicks)
		leader := m.leader()
		if leader == nil {
			t.Fatalf("no leader after all faults ended:%s", m.describe())
		}
		m.lastNumber++
		m.publish(leader, m.lastNumber)
		m.advance(30)
		if m.acknowledged != m.lastNumber {
			t.Fatalf("acknowledged %d after all faults ended, want %d", m.acknowledged, m.lastNumber)
		}
		m.read(leader)
		m.advance(30)
		if len(m.pending) != 0 {
			t.Fatalf("%d commands without an answer after all faults ended", len(m.pending))
		}
	})
}
