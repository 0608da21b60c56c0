package raft

import (
	"testing"

	"figbank"
)

// A leader that stops, or that has been replaced, left the log without a leader for an election timeout and more.
func TestLeadIsHandedOver(t *testing.T) {
	scenarios := []struct {
		name  string
		leave func(c *cluster, leader figbank.ProcessID)
	}{
		{name: "the leader stops", leave: func(c *cluster, leader figbank.ProcessID) {
			c.hosts[leader].node.HandOver(c.now)
			c.processReady(leader)
			c.hosts[leader].down = true
		}},
		{name: "the leader is replaced", leave: func(c *cluster, leader figbank.ProcessID) {
			var others []figbank.ProcessID
			for _, id := range c.ids {
				if id != leader {
					others = append(others, id)
				}
			}
			if err := c.hosts[leader].node.ProposeMembership(NewMembership(others...)); err != nil {
				t.Fatal(err)
			}
			c.processReady(leader)
		}},
	}
	for _, s := range scenarios {
		for seed := range uint64(20) {
			c := newCluster(3, seed, t.Fatalf)
			leader := c.awaitLeader(t)
			if _, _, err := c.hosts[leader].node.Propose(c.now, []byte("x")); err != nil {
				t.Fatal(err)
			}
			c.processReady(leader)
			c.deliverAll()
			s.leave(c, leader)
			// Messages are exchanged, and no time passes.
			c.deliverAll()
			led := false
			for id, h := range c.hosts {
				led = led || id != leader && h.node.Role() == Leader
			}
			if !led {
				t.Errorf("%s, seed %d: nobody leads before an election timeout", s.name, seed)
			}
		}
	}
}

// A request to stand for election that comes late must not disturb the leader of a later term, nor make a replica
// stand that does not vote.
func TestLateRequestsToCampaignAreIgnored(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	first := c.awaitLeader(t)
	c.hosts[first].node.HandOver(c.now)
	late := c.hosts[first].node.Ready().Messages
	c.hosts[first].down = true
	second := c.awaitLeader(t)
	term := c.hosts[second].node.Term()
	c.inFlight = append(c.inFlight, late...)
	c.deliverAll()
	if got := c.hosts[second].node; got.Role() != Leader || got.Term() != term {
		t.Errorf("after a late request: %v in term %v, want the leader in term %v", got.Role(), got.Term(), term)
	}
}
