package raft

import (
	"testing"
	"time"

	"figbank"
	"figbank/schema"
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

// A candidate that gets no answer asks again and again. If each request costs the voter a sync, a slow disk
// keeps it from answering at all.
func TestRepeatedVoteRequestCostsNoSync(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	voter := c.hosts["r0"].node
	request := &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_VOTE, From: "r1", To: "r0", Term: 1}
	for i, wantSync := range []bool{true, false, false} {
		voter.Step(c.now, request)
		ready := voter.Ready()
		if got := ready.HardState != nil; got != wantSync {
			t.Errorf("request %d: sync %v, want %v", i, got, wantSync)
		}
		if len(ready.Messages) != 1 || !ready.Messages[0].GetGranted() {
			t.Errorf("request %d: answers %v, want one that grants the vote", i, ready.Messages)
		}
	}
}
