package raft

import (
	"testing"
	"time"

	"figbank"
)

// A voter is lost, and the leadership moves to the other one that runs. If the new leader counts the silence
// from its election on, a log whose leaders change never replaces the lost voter.
func TestNextLeaderGoesOnCountingSilence(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(5, seed, t.Fatalf)
		first := c.awaitLeader(t)
		lost := c.ids[0]
		if lost == first {
			lost = c.ids[1]
		}
		lostAt := c.now
		c.hosts[lost].down = true
		for range 3 {
			c.steps(100)
			leader := c.awaitLeader(t)
			c.isolate(leader, true)
			c.steps(40)
			c.isolate(leader, false)
		}
		node := c.hosts[c.awaitLeader(t)].node
		heard, _ := node.Contact(lost)
		if got, most := heard.Sub(lostAt), timing.ElectionTimeout; got > most {
			t.Errorf("seed %d: lost voter counts as heard %v after it was lost, want at most %v", seed, got, most)
		}
		for _, id := range c.ids {
			if heard, _ := node.Contact(id); id != lost && id != node.id && c.now.Sub(heard) > time.Second {
				t.Errorf("seed %d: %s runs and counts as silent for %v", seed, id, c.now.Sub(heard))
			}
		}
		if heard, since := node.Contact(figbank.ProcessID("none")); !heard.IsZero() || !since.IsZero() {
			t.Errorf("seed %d: contact of an unknown replica = %v, %v, want none", seed, heard, since)
		}
	}
}
