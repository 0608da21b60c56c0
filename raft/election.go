package raft

import (
	"figbank"
	"figbank/schema"
)

func (n *Node) becomeFollower(term uint64, leader figbank.ProcessID, cause Cause) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.saveHardState()
	}
	n.role, n.cause = Follower, cause
	n.leader = leader
	n.progress = nil
	n.resetElectionTimer()
}

// startPreVote asks the other voters whether this replica could win an election.
// It leaves the term as it is, so that a working leader is not forced to step down.
func (n *Node) startPreVote() {
	n.role, n.cause = PreCandidate, LeaderSilent
	n.leader = ""
	n.resetElectionTimer()
	n.votes = map[figbank.ProcessID]bool{n.id: true}
	if n.hasQuorum(n.hasVoteFrom) {
		n.startElection(PreVoteWon)
		return
	}
	n.requestVotes(schema.RaftKind_RAFT_KIND_PRE_VOTE, n.term+1)
}

// startElection asks the other voters for their votes in the next term. cause is PreVoteWon or AskedToLead.
func (n *Node) startElection(cause Cause) {
	n.role, n.cause = Candidate, cause
	n.handedOver = cause == AskedToLead
	n.leader = ""
	n.term++
	n.votedFor = n.id
	n.saveHardState()
	n.resetElectionTimer()
	n.votes = map[figbank.ProcessID]bool{n.id: true}
	if n.hasQuorum(n.hasVoteFrom) {
		n.becomeLeader()
		return
	}
	n.requestVotes(schema.RaftKind_RAFT_KIND_VOTE, n.term)
}

// requestVotes asks all other voters that have not granted their votes yet.
func (n *Node) requestVotes(kind schema.RaftKind, term uint64) {
	n.voteRequestDue = n.now.Add(n.timing.HeartbeatInterval)
	last := n.log.last()
	lastTerm, _ := n.log.termAt(last)
	n.eachVoter(func(peer figbank.ProcessID) {
		if !n.votes[peer] {
			n.send(peer, &schema.RaftMessage{
				Kind: kind, Term: term, LogIndex: last, LogTerm: lastTerm,
				HandedOver: n.handedOver && kind == schema.RaftKind_RAFT_KIND_VOTE,
			})
		}
	})
}

// repeatVoteRequests asks again for votes while this replica is a candidate. Otherwise one lost message
// would cost a whole election timeout.
func (n *Node) repeatVoteRequests() {
	if n.now.Before(n.voteRequestDue) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.requestVotes(schema.RaftKind_RAFT_KIND_PRE_VOTE, n.term+1)
	case Candidate:
		n.requestVotes(schema.RaftKind_RAFT_KIND_VOTE, n.term)
	default:
	}
}

func (n *Node) handlePreVote(m *schema.RaftMessage) {
	granted := m.GetTerm() > n.term && !n.hasActiveLeader() && n.upToDate(m)
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
			n.becomeFollower(m.GetTerm(), "", NewerTerm)
		}
		return
	}
	if n.role != PreCandidate || m.GetTerm() != n.term+1 {
		return
	}
	n.votes[figbank.ProcessID(m.GetFrom())] = true
	if n.hasQuorum(n.hasVoteFrom) {
		n.startElection(PreVoteWon)
	}
}

func (n *Node) handleVote(m *schema.RaftMessage) {
	from := figbank.ProcessID(m.GetFrom())
	canVote := n.votedFor == "" || n.votedFor == from
	granted := m.GetTerm() == n.term && canVote && n.upToDate(m)
	if granted {
		if n.votedFor != from {
			n.votedFor = from
			n.saveHardState()
		}
		n.resetElectionTimer()
	}
	n.send(from, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_VOTE_ANSWER, Term: n.term, Granted: granted})
}

func (n *Node) handleVoteAnswer(m *schema.RaftMessage) {
	if n.role != Candidate || m.GetTerm() != n.term || !m.GetGranted() {
		return
	}
	n.votes[figbank.ProcessID(m.GetFrom())] = true
	if n.hasQuorum(n.hasVoteFrom) {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role, n.cause = Leader, Elected
	n.leader = n.id
	n.progress = map[figbank.ProcessID]*progress{}
	// A leader may only commit entries of earlier terms together with one of its own
	// term, so it appends an empty entry at once.
	first := &schema.Entry{Index: n.log.last() + 1, Term: n.term}
	if n.log.last() == 0 {
		first.Data = n.founding
	}
	n.appendEntry(first)
	n.broadcastAppend()
}

// hasActiveLeader reports whether the current leader may still be active. If so, this replica votes
// for no candidate. A leader considers itself active if it has heard from a quorum within the
// election timeout. Any other replica considers the leader active if it has heard from the leader
// within the election timeout.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return n.heardFromQuorum()
	}
	return n.leader != "" && n.now.Sub(n.lastLeaderContact) < n.timing.ElectionTimeout
}

// heardFromQuorum reports whether this leader has heard from a quorum within the
// election timeout.
func (n *Node) heardFromQuorum() bool {
	return n.hasQuorum(func(id figbank.ProcessID) bool {
		p := n.progress[id]
		return id == n.id || p != nil && n.now.Sub(p.lastContact) < n.timing.ElectionTimeout
	})
}

// hasVoteFrom reports whether a voter has granted this candidate its vote.
func (n *Node) hasVoteFrom(id figbank.ProcessID) bool {
	return n.votes[id]
}

// upToDate reports whether a candidate's log is at least as recent as this replica's
// (Raft paper, section 5.4.1).
func (n *Node) upToDate(m *schema.RaftMessage) bool {
	last := n.log.last()
	lastTerm, _ := n.log.termAt(last)
	if m.GetLogTerm() != lastTerm {
		return m.GetLogTerm() > lastTerm
	}
	return m.GetLogIndex() >= last
}
