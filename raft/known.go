package raft

import (
	"figbank"
	"figbank/schema"
)

// KnownCommit returns the highest index of which a majority of the voters knows that it is committed. The loss
// of this leader alone then leaves replicas that know it, without the election of another one. KnownCommit
// returns 0 on a replica that is not the leader.
func (n *Node) KnownCommit() figbank.CommitIndex {
	if n.role != Leader {
		return 0
	}
	return figbank.CommitIndex(n.agreedIndex(func(id figbank.ProcessID) uint64 {
		if id == n.id {
			return n.commitIndex
		}
		if p := n.progress[id]; p != nil {
			return p.knownCommit
		}
		return 0
	}))
}

// noteKnownCommit records what a replica knows to be committed. One of an older version does not say so.
func (p *progress) noteKnownCommit(answer *schema.RaftMessage) {
	known := p.matchIndex
	if answer.KnownCommit != nil {
		known = answer.GetKnownCommit()
	}
	p.knownCommit = max(p.knownCommit, known)
}
