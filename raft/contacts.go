package raft

import (
	"time"

	"figbank"
)

// Heard returns when this replica last heard of another one, in whatever role. It returns false if it
// never has since it started.
func (n *Node) Heard(id figbank.ProcessID) (time.Time, bool) {
	at, found := n.heard[id]
	return at, found
}

// HasVoteFrom reports whether this replica is a candidate, or about to be one, to which a voter has
// granted its vote.
func (n *Node) HasVoteFrom(id figbank.ProcessID) bool {
	return (n.role == PreCandidate || n.role == Candidate) && n.votes[id]
}

// IsVoter reports whether this replica is a voter under its newest membership.
func (n *Node) IsVoter() bool {
	return n.isVoter()
}

// noteHeard records that another replica was alive at a time.
func (n *Node) noteHeard(id figbank.ProcessID, at time.Time) {
	if n.heard[id].Before(at) {
		n.heard[id] = at
	}
}
