// Package raft implements the Raft consensus algorithm without I/O. Its driver passes
// in messages, the time and the index up to which entries are synced; the package
// returns what the driver must persist, send and apply. It follows Ongaro's thesis,
// with pre-vote and check-quorum. It has no goroutine, socket, disk or clock of its
// own.
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

// maxAppend limits the total size of the entries in one message. A larger entry is
// sent alone.
const maxAppend figbank.Bytes = 1 << 20

type (
	// Role is a replica's role in its current term.
	Role int

	// Timing holds the timeouts of elections and heartbeats.
	Timing struct {
		// ElectionTimeout is the minimum time without contact from a leader before a
		// replica starts an election. The replica waits up to twice as long, at random.
		ElectionTimeout time.Duration
		// HeartbeatInterval is the time after which a leader sends to its peers again, even without
		// new entries.
		HeartbeatInterval time.Duration
	}

	// PersistentState is the state that a replica reads from its disk when it starts.
	// All fields are nil on an empty disk.
	PersistentState struct {
		HardState *schema.HardState
		Snapshot  *schema.Snapshot
		Entries   []*schema.Entry
	}

	// Ready is the work of the driver, in this order: persist HardState, Snapshot and Entries;
	// sync; call MarkPersisted; send Messages; restore the state machine from Snapshot; apply
	// Committed. Nil fields require no work. Entries replaces all stored entries from the index of
	// its first entry on.
	Ready struct {
		HardState *schema.HardState
		Snapshot  *schema.Snapshot
		Entries   []*schema.Entry
		Messages  []*schema.RaftMessage
		Committed []*schema.Entry
	}

	// Node is the Raft state of one replica. It is not safe for concurrent use.
	Node struct {
		id     figbank.ProcessID
		timing Timing
		random *rand.Rand

		now         time.Time
		term        uint64
		votedFor    figbank.ProcessID
		log         entryLog
		commitIndex uint64
		// deliveredIndex is the highest index that the driver has received, in Committed or in a
		// snapshot.
		deliveredIndex uint64
		// persistedIndex is the highest index that is synced on this replica's disk.
		persistedIndex uint64

		role             Role
		cause            Cause
		leader           figbank.ProcessID
		votes            map[figbank.ProcessID]bool
		progress         map[figbank.ProcessID]*progress
		electionDeadline time.Time
		heartbeatDue     time.Time
		// round is the number of the last broadcast of this node as a leader.
		round uint64
		// voteRequestDue is when a candidate asks again for votes that it has not got.
		voteRequestDue time.Time
		// founding is the data of the first entry of a new log.
		founding []byte
		// handedOver is set while this node is a candidate on behalf of the leader before.
		handedOver        bool
		lastLeaderContact time.Time
		// heard holds when each other replica was last known to be alive.
		heard map[figbank.ProcessID]time.Time

		ready Ready
	}

	// progress is what a leader knows about one follower or learner.
	progress struct {
		// nextIndex is the index of the next entry to send.
		nextIndex uint64
		// matchIndex is the highest index up to which the replica is known to have synced the
		// same entries as the leader.
		matchIndex uint64
		// knownCommit is the highest index that the replica knows to be committed.
		knownCommit uint64
		// lastContact is the time of the replica's last answer, or of the first message to it if
		// it has not answered yet.
		lastContact time.Time
		// since is the time of the first message to it.
		since time.Time
		// confirmedRound is the last broadcast that it has answered.
		confirmedRound uint64
	}
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

// NewNode returns a follower with the state read from disk. initial is the membership
// before any entry or snapshot sets another one; it is nil for a replica that waits
// to be added. random supplies the random part of the election timeouts.
func NewNode(id figbank.ProcessID, initial *schema.Membership, timing Timing, random *rand.Rand, stored PersistentState, now time.Time) *Node {
	n := &Node{id: id, timing: timing, random: random, now: now, heard: map[figbank.ProcessID]time.Time{}}
	n.term = stored.HardState.GetTerm()
	n.votedFor = figbank.ProcessID(stored.HardState.GetVotedFor())
	n.log = newEntryLog(initial, stored.Snapshot, stored.Entries)
	n.commitIndex = stored.Snapshot.GetIndex()
	n.deliveredIndex = n.commitIndex
	n.persistedIndex = n.log.last()
	n.resetElectionTimer()
	return n
}

// SetFounding sets the data of the first entry, which counts if this node becomes the first leader of a new log.
func (n *Node) SetFounding(data []byte) { n.founding = data }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() figbank.Term { return figbank.Term(n.term) }

// Leader returns the leader of the current term, or "" if it is unknown.
func (n *Node) Leader() figbank.ProcessID { return n.leader }

// CommitIndex returns the highest index known to be committed.
func (n *Node) CommitIndex() figbank.CommitIndex { return figbank.CommitIndex(n.commitIndex) }

// Ready returns the driver's pending work and clears it.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	if n.commitIndex > n.deliveredIndex {
		ready.Committed = n.log.slice(n.deliveredIndex+1, n.commitIndex)
		n.deliveredIndex = n.commitIndex
	}
	return ready
}

// Empty reports whether there is no work for the driver.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// MarkPersisted records that all entries up to index are synced on this replica's disk.
func (n *Node) MarkPersisted(index uint64) {
	n.persistedIndex = max(n.persistedIndex, min(index, n.log.last()))
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Propose appends an entry to the log and sends it to the peers. The entry is committed once Ready
// returns an entry with the same index and term in Committed. If Committed instead contains an
// entry of another term at that index, the proposed entry was lost. Propose returns a
// NotAcceptedError on a replica that is not the leader.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, figbank.NotAcceptedError{Leader: n.leader, Detail: "this replica is not the leader"}
	}
	entry := &schema.Entry{Index: n.log.last() + 1, Term: n.term, Data: data}
	n.appendEntry(entry)
	n.broadcastAppend()
	return entry.GetIndex(), entry.GetTerm(), nil
}

// Compact replaces the log up to the snapshot's index by the snapshot. It returns
// the entries that remain, so that the driver can rewrite the log on disk. The driver
// must not modify the returned slice.
func (n *Node) Compact(snapshot *schema.Snapshot) []*schema.Entry {
	n.log.compact(snapshot)
	return n.log.entries
}

// HardState returns the current term and vote.
func (n *Node) HardState() *schema.HardState {
	return &schema.HardState{Term: n.term, VotedFor: string(n.votedFor)}
}

// TermAt returns the term of the entry at an index. If the index is the last one that the snapshot
// covers, it returns the term of the snapshot. It returns false if the log contains neither.
func (n *Node) TermAt(index uint64) (uint64, bool) {
	return n.log.termAt(index)
}

// Tick advances the time. A leader steps down if it has not heard from a quorum within the election
// timeout, and otherwise sends a heartbeat if one is due. Any other voter starts a pre-vote if its
// election timeout has passed, and until then asks again for votes that it has asked for and not got. A
// replica that does not vote knows of no leader any more once its election timeout has passed.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now.Before(n.electionDeadline) {
		n.repeatVoteRequests()
		return
	}
	if n.isVoter() {
		n.startPreVote()
		return
	}
	n.leader, n.cause = "", LeaderSilent
	n.resetElectionTimer()
}

// Step handles one message from another replica.
func (n *Node) Step(now time.Time, m *schema.RaftMessage) {
	n.now = now
	// A replica that has lost its disk comes back under another id at the same
	// address. It must ignore messages that are addressed to the old id.
	if m.GetTo() != string(n.id) {
		return
	}
	n.noteHeard(figbank.ProcessID(m.GetFrom()), now)
	switch m.GetKind() {
	case schema.RaftKind_RAFT_KIND_PRE_VOTE:
		n.handlePreVote(m)
		return
	case schema.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER:
		n.handlePreVoteAnswer(m)
		return
	case schema.RaftKind_RAFT_KIND_VOTE:
		if n.hasActiveLeader() && !m.GetHandedOver() {
			return
		}
	default:
	}
	if m.GetTerm() > n.term {
		n.becomeFollower(m.GetTerm(), "", NewerTerm)
	}
	n.stepInTerm(m)
}

// stepInTerm handles a message whose term is not higher than this replica's.
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
	case schema.RaftKind_RAFT_KIND_CAMPAIGN:
		n.handleCampaign(m)
	default:
	}
}

func (n *Node) send(to figbank.ProcessID, m *schema.RaftMessage) {
	m.From = string(n.id)
	m.To = string(to)
	n.ready.Messages = append(n.ready.Messages, m)
}

func (n *Node) resetElectionTimer() {
	spread := time.Duration(n.random.Int64N(int64(n.timing.ElectionTimeout)))
	n.electionDeadline = n.now.Add(n.timing.ElectionTimeout + spread)
}

func (n *Node) saveHardState() {
	n.ready.HardState = n.HardState()
}
