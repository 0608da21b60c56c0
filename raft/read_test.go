package raft

import (
	"testing"

	"figbank"
)

// A leader that is cut off still believes for a while that it leads, and answers reads from a state that is
// no longer in force, unless it asks a quorum first.
func TestReadIsConfirmedByAQuorumOnly(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	leader := c.awaitLeader(t)
	c.steps(10)
	if _, round := c.beginRead(t, leader); !c.hosts[leader].node.ReadConfirmed(round) {
		t.Error("a read under a quorum is not confirmed")
	}
	c.isolate(leader, true)
	_, round := c.beginRead(t, leader)
	for range 30 {
		c.step()
		if c.hosts[leader].node.ReadConfirmed(round) {
			t.Fatal("a read at a leader that is cut off is confirmed")
		}
	}
	next, _ := c.leader()
	if err := c.propose(next, "newer"); err != nil {
		t.Fatal(err)
	}
	c.steps(1)
	index, round := c.beginRead(t, next)
	if got, want := uint64(index), c.hosts[next].applied; got != want || !c.hosts[next].node.ReadConfirmed(round) {
		t.Errorf("read at the next leader: index %d, want %d, confirmed", got, want)
	}
	if _, _, err := c.hosts[leader].node.ReadIndex(c.now); err == nil {
		t.Error("ReadIndex() at a replica that no longer leads = nil, want NotAcceptedError")
	}
}

// beginRead begins a read and delivers the messages of its round.
func (c *cluster) beginRead(t *testing.T, id figbank.ProcessID) (figbank.CommitIndex, uint64) {
	t.Helper()
	index, round, err := c.hosts[id].node.ReadIndex(c.now)
	if err != nil {
		t.Fatalf("ReadIndex() = %v", err)
	}
	c.processReady(id)
	c.deliverAll()
	return index, round
}
