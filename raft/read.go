package raft

import (
	"time"

	"figbank"
)

// ReadIndex begins a read without an entry in the log (Ongaro's thesis, section 6.4). It returns the index up
// to which the state must be applied, and a round. The state may be read once ReadConfirmed returns true for
// the round. ReadIndex returns a NotAcceptedError on a replica that is not the leader, and on a leader that has
// not committed an entry of its own term yet and may thus not know what is committed.
func (n *Node) ReadIndex(now time.Time) (index figbank.CommitIndex, round uint64, err error) {
	n.now = now
	term, _ := n.log.termAt(n.commitIndex)
	if n.role != Leader || term != n.term {
		return 0, 0, figbank.NotAcceptedError{Leader: n.leader, Detail: "this replica is not the leader, or became it just now"}
	}
	n.broadcastAppend()
	return figbank.CommitIndex(n.commitIndex), n.round, nil
}

// ReadConfirmed reports whether a quorum has answered the broadcast of a round, or a later one, in the present
// term. This replica thus still led when it sent that.
func (n *Node) ReadConfirmed(round uint64) bool {
	return n.role == Leader && n.hasQuorum(func(id figbank.ProcessID) bool {
		p := n.progress[id]
		return id == n.id || p != nil && p.confirmedRound >= round
	})
}
