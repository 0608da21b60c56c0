package raft

import (
	"figbank"
	"figbank/schema"
)

func (n *Node) becomeFollower(term uint64, leader figbank.ProcessID) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.saveHardState()
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.resetElection()
}

// startPreVote asks whether an election could succeed, without disturbing a
// working leader by a higher term.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.resetElection()
	n.votes = map[figbank.ProcessID]bool{n.id: true}
	if n.agree(n.voted) {
		n.startElection()
		return
	}
	n.askVotes(schema.RaftKind_RAFT_KIND_PRE_VOTE, n.term+1)
}

func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.votedFor = n.id
	n.saveHardState()
	n.resetElection()
	n.votes = map[figbank.ProcessID]bool{n.id: true}
	if n.agree(n.voted) {
		n.becomeLeader()
		return
	}
	n.askVotes(schema.RaftKind_RAFT_KIND_VOTE, n.term)
}

func (n *Node) askVotes(kind schema.RaftKind, term uint64) {
	last := n.log.last()
	lastTerm, _ := n.log.termAt(last)
	n.eachVoter(func(peer figbank.ProcessID) {
		n.send(peer, &schema.RaftMessage{Kind: kind, Term: term, LogIndex: last, LogTerm: lastTerm})
	})
}

func (n *Node) handlePreVote(m *schema.RaftMessage) {
	granted := m.GetTerm() > n.term && !n.hearsLeader() && n.upToDate(m)
	term := n.term
	if granted {
		term = m.GetTerm()
	}
	n.send(figbank.ProcessID(m.GetFrom()), &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER, Term: term, Granted: granted,
	})
}

func (n *Node) handlePreVoteAnswer(m *schema.RaftMessage) {
	if !m.GetGranted() {
		if m.GetTerm() > n.term {
			n.becomeFollower(m.GetTerm(), "")
		}
		return
	}
	if n.role != PreCandidate || m.GetTerm() != n.term+1 {
		return
	}
	n.votes[figbank.ProcessID(m.GetFrom())] = true
	if n.agree(n.voted) {
		n.startElection()
	}
}

func (n *Node) handleVote(m *schema.RaftMessage) {
	from := figbank.ProcessID(m.GetFrom())
	free := n.votedFor == "" || n.votedFor == from
	granted := m.GetTerm() == n.term && free && n.upToDate(m)
	if granted {
		n.votedFor = from
		n.saveHardState()
		n.resetElection()
	}
	n.send(from, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_VOTE_ANSWER, Term: n.term, Granted: granted})
}

func (n *Node) handleVoteAnswer(m *schema.RaftMessage) {
	if n.role != Candidate || m.GetTerm() != n.term || !m.GetGranted() {
		return
	}
	n.votes[figbank.ProcessID(m.GetFrom())] = true
	if n.agree(n.voted) {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.progress = map[figbank.ProcessID]*progress{}
	// An entry of its own term lets a new leader commit those of earlier terms.
	n.appendOwn(&schema.Entry{Index: n.log.last() + 1, Term: n.term})
	n.broadcastAppend()
}

// hearsLeader tells whether the present leader's lease may still hold, in which
// case no other candidate gets a vote.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return n.heardQuorum()
	}
	return n.leader != "" && n.now.Sub(n.leaderHeard) < n.timing.ElectionTimeout
}

func (n *Node) heardQuorum() bool {
	return n.agree(func(id figbank.ProcessID) bool {
		p := n.progress[id]
		return id == n.id || p != nil && n.now.Sub(p.heard) < n.timing.ElectionTimeout
	})
}

// voted tells who has granted this candidate a vote.
func (n *Node) voted(id figbank.ProcessID) bool {
	return n.votes[id]
}

func (n *Node) upToDate(m *schema.RaftMessage) bool {
	last := n.log.last()
	lastTerm, _ := n.log.termAt(last)
	if m.GetLogTerm() != lastTerm {
		return m.GetLogTerm() > lastTerm
	}
	return m.GetLogIndex() >= last
}
