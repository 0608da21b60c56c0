package replica

import (
	"testing"

	"pgregory.net/rapid"
)

// TestReplicasAgainstRegister is the machine: commands, crashes, torn writes,
// failing syncs, lost disks, planned leaves, cuts in one direction, lost and
// doubled messages. What was acknowledged is seen by every later read, no two
// replicas differ at a place of the log, and once all is well the log goes on.
func TestReplicasAgainstRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "lost disks"), t.Fatalf)
		m.time(60)
		host := func(t *rapid.T) *machineHost { return m.hosts[rapid.IntRange(0, machineHosts-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes":      func(t *rapid.T) { m.time(rapid.IntRange(1, 25).Draw(t, "ticks")) },
			"more time passes": func(t *rapid.T) { m.time(rapid.IntRange(5, 50).Draw(t, "ticks")) },
			"publish": func(t *rapid.T) {
				m.numbers++
				m.publish(m.leaderOr(host(t)), m.numbers)
			},
			"publish many": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "count") {
					m.numbers++
					m.publish(m.leaderOr(host(t)), m.numbers)
				}
			},
			"publish at any": func(t *rapid.T) {
				m.numbers++
				m.publish(host(t), m.numbers)
			},
			"publish an old number": func(t *rapid.T) { m.publish(m.leaderOr(host(t)), 1+m.numbers/2) },
			"read":                  func(t *rapid.T) { m.read(m.leaderOr(host(t))) },
			"read at any":           func(t *rapid.T) { m.read(host(t)) },
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
			"start":      func(t *rapid.T) { m.startFirst(host(t).place) },
			"start one":  func(t *rapid.T) { m.startFirst(host(t).place) },
			"start all":  func(*rapid.T) { m.startAll() },
			"syncs fail": func(t *rapid.T) { host(t).disk.FailSyncs() },
			"syncs work": func(t *rapid.T) { host(t).disk.HealSyncs() },
			"lose a disk": func(t *rapid.T) {
				if h := host(t); m.mayLoseDisk() {
					m.loseDisk(h)
				}
			},
			"leave": func(t *rapid.T) { host(t).leaving = rapid.Bool().Draw(t, "leaving") },
			"cut":   func(t *rapid.T) { m.cut[[2]int{host(t).place, host(t).place}] = true },
			"split": func(t *rapid.T) { m.split(rapid.IntRange(1, 1<<machineHosts-2).Draw(t, "side")) },
			"mend":  func(*rapid.T) { m.cut = map[[2]int]bool{} },
			"loss":  func(t *rapid.T) { m.lossPercent = rapid.IntRange(0, 30).Draw(t, "percent") },
			"silence": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
					m.time(silenceTicks)
				}
			},
			"well again": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
					m.heal()
					m.time(silenceTicks)
				}
			},
		})
		m.heal()
		m.time(2 * silenceTicks)
		leader := m.leader()
		if leader == nil {
			t.Fatalf("no leader after healing:%s", m.describe())
		}
		m.numbers++
		m.publish(leader, m.numbers)
		m.time(30)
		if m.acknowledged != m.numbers {
			t.Fatalf("acknowledged %d after healing, want %d", m.acknowledged, m.numbers)
		}
		m.read(leader)
		m.time(30)
		if len(m.asked) != 0 {
			t.Fatalf("%d questions without an answer after healing", len(m.asked))
		}
	})
}
