// Package raft decides: given messages, time and synced entries, it says what
// to persist, send and apply. It follows Ongaro's Raft with pre-vote and
// check-quorum, and has no goroutine, socket, disk or clock of its own.
package raft

import (
	"math/rand/v2"
	"time"

	"figbank"
	"figbank/schema"
)

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// maxAppend bounds the entries of one message.
const maxAppend figbank.Bytes = 1 << 20

type (
	// Role is what a replica does in its term.
	Role int

	// Timing sets the pace of elections.
	Timing struct {
		// ElectionTimeout is the least silence before an election.
		ElectionTimeout time.Duration
		// HeartbeatInterval is the leader's.
		HeartbeatInterval time.Duration
	}

	// Stored is what a replica finds on its disk.
	Stored struct {
		HardState *schema.HardState
		Snapshot  *schema.Snapshot
		Entries   []*schema.Entry
	}

	// Ready is what the driver has to do, in this order: persist HardState,
	// Snapshot and Entries; sync; call Persisted; send Messages; restore Snapshot;
	// apply Committed.
	Ready struct {
		HardState *schema.HardState
		Snapshot  *schema.Snapshot
		Entries   []*schema.Entry
		Messages  []*schema.RaftMessage
		Committed []*schema.Entry
	}

	// Node is one replica. It is not safe for concurrent use.
	Node struct {
		id     figbank.ProcessID
		timing Timing
		random *rand.Rand

		now      time.Time
		term     uint64
		votedFor figbank.ProcessID
		log      entryLog
		commit   uint64
		handed   uint64
		stable   uint64

		role        Role
		leader      figbank.ProcessID
		votes       map[figbank.ProcessID]bool
		progress    map[figbank.ProcessID]*progress
		electionAt  time.Time
		heartbeatAt time.Time
		leaderHeard time.Time

		ready Ready
	}

	// progress is what a leader knows of one follower.
	progress struct {
		next  uint64
		match uint64
		heard time.Time
	}
)

// String names the role.
func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

// NewNode returns a follower with the state found on disk. First are the members
// before any entry that changes them; nil for a replica that is yet to be added.
func NewNode(id figbank.ProcessID, first *schema.Membership, timing Timing, random *rand.Rand, stored Stored, now time.Time) *Node {
	n := &Node{id: id, timing: timing, random: random, now: now}
	n.term = stored.HardState.GetTerm()
	n.votedFor = figbank.ProcessID(stored.HardState.GetVotedFor())
	n.log = newEntryLog(first, stored.Snapshot, stored.Entries)
	n.commit = stored.Snapshot.GetIndex()
	n.handed = n.commit
	n.stable = n.log.last()
	n.resetElection()
	return n
}

// Role is the present role.
func (n *Node) Role() Role { return n.role }

// Term is the present term.
func (n *Node) Term() figbank.Term { return figbank.Term(n.term) }

// Leader is the leader of the present term, if known.
func (n *Node) Leader() figbank.ProcessID { return n.leader }

// Commit is the highest index known to be committed.
func (n *Node) Commit() figbank.CommitIndex { return figbank.CommitIndex(n.commit) }

// Ready returns and clears what the driver has to do.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	if n.commit > n.handed {
		ready.Committed = n.log.slice(n.handed+1, n.commit)
		n.handed = n.commit
	}
	return ready
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Persisted says that all entries up to index are synced on this replica's disk.
func (n *Node) Persisted(index uint64) {
	n.stable = max(n.stable, min(index, n.log.last()))
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Propose appends data to the leader's log.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, figbank.NotAcceptedError{Leader: n.leader, Detail: "this replica is not the leader"}
	}
	entry := &schema.Entry{Index: n.log.last() + 1, Term: n.term, Data: data}
	n.appendOwn(entry)
	n.broadcastAppend()
	return entry.GetIndex(), entry.GetTerm(), nil
}

// Compact replaces the log up to the snapshot's index by the snapshot. It
// returns the entries that remain, for rewriting the disk.
func (n *Node) Compact(snapshot *schema.Snapshot) []*schema.Entry {
	n.log.compact(snapshot)
	return n.log.entries
}

// HardState returns the present term and vote.
func (n *Node) HardState() *schema.HardState {
	return &schema.HardState{Term: n.term, VotedFor: string(n.votedFor)}
}

// TermAt returns the term of an entry that the log still has, or its snapshot's.
func (n *Node) TermAt(index uint64) (uint64, bool) {
	return n.log.termAt(index)
}

// Tick lets time pass.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.electionAt) && n.mayVote() {
		n.startPreVote()
	}
}

// Step handles one message from another replica.
func (n *Node) Step(now time.Time, m *schema.RaftMessage) {
	n.now = now
	// A replica that has lost its disk is another one, though at the same address.
	if m.GetTo() != string(n.id) {
		return
	}
	switch m.GetKind() {
	case schema.RaftKind_RAFT_KIND_PRE_VOTE:
		n.handlePreVote(m)
		return
	case schema.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER:
		n.handlePreVoteAnswer(m)
		return
	case schema.RaftKind_RAFT_KIND_VOTE:
		if n.hearsLeader() {
			return
		}
	default:
	}
	if m.GetTerm() > n.term {
		n.becomeFollower(m.GetTerm(), "")
	}
	n.stepInTerm(m)
}

func (n *Node) stepInTerm(m *schema.RaftMessage) {
	switch m.GetKind() {
	case schema.RaftKind_RAFT_KIND_VOTE:
		n.handleVote(m)
	case schema.RaftKind_RAFT_KIND_VOTE_ANSWER:
		n.handleVoteAnswer(m)
	case schema.RaftKind_RAFT_KIND_APPEND:
		n.handleAppend(m)
	case schema.RaftKind_RAFT_KIND_APPEND_ANSWER:
		n.handleAppendAnswer(m)
	case schema.RaftKind_RAFT_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	default:
	}
}

func (n *Node) send(to figbank.ProcessID, m *schema.RaftMessage) {
	m.From = string(n.id)
	m.To = string(to)
	n.ready.Messages = append(n.ready.Messages, m)
}

func (n *Node) resetElection() {
	spread := time.Duration(n.random.Int64N(int64(n.timing.ElectionTimeout)))
	n.electionAt = n.now.Add(n.timing.ElectionTimeout + spread)
}

func (n *Node) saveHardState() {
	n.ready.HardState = n.HardState()
}
