package raft

import (
	"testing"
	"time"

	"figbank"
)

// The first requests for votes are lost. If a candidate asks only once in an election timeout, a few lost
// messages keep the log without a leader for seconds.
func TestLostVoteRequestsAreSentAgain(t *testing.T) {
	const mostSteps = 6 // less than an election timeout of 10 steps
	for seed := range uint64(20) {
		c := newCluster(3, seed, t.Fatalf)
		c.hosts[c.awaitLeader(t)].down = true
		var candidate figbank.ProcessID
		for _, id := range c.ids {
			c.isolate(id, true)
			if !c.hosts[id].down {
				candidate = id
			}
		}
		for _, id := range c.ids {
			if id != candidate {
				// Only one stands, so votes are not split.
				c.hosts[id].node.electionDeadline = c.now.Add(time.Minute)
			}
		}
		for c.hosts[candidate].node.Role() != PreCandidate {
			c.step()
		}
		for _, id := range c.ids {
			c.isolate(id, false)
		}
		c.steps(mostSteps)
		if _, found := c.leader(); !found {
			t.Errorf("seed %d: no leader %d steps after messages arrive again", seed, mostSteps)
		}
	}
}
