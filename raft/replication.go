package raft

import (
	"slices"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

func (n *Node) tickLeader() {
	if !n.heardFromQuorum() {
		n.becomeFollower(n.term, "", QuorumLost)
		return
	}
	if n.now.Before(n.heartbeatDue) {
		return
	}
	n.broadcastAppend()
}

func (n *Node) appendEntry(entry *schema.Entry) {
	n.log.append(entry)
	n.ready.Entries = append(n.ready.Entries, entry)
}

func (n *Node) broadcastAppend() {
	n.heartbeatDue = n.now.Add(n.timing.HeartbeatInterval)
	n.round++
	n.eachPeer(n.sendAppend)
}

// sendAppend sends a peer the next entries, at most maxAppend bytes of them, or an empty message as
// a heartbeat. If the log no longer contains the entry before the next ones, it sends the snapshot.
// It advances nextIndex without waiting for an answer. A peer that missed entries refuses the
// message and answers with the index after which the leader has to resume.
func (n *Node) sendAppend(peer figbank.ProcessID) {
	p := n.progress[peer]
	if p == nil {
		p = &progress{nextIndex: n.log.last() + 1, lastContact: n.now, since: n.now}
		n.progress[peer] = p
	}
	before, found := n.log.termAt(p.nextIndex - 1)
	if !found {
		n.sendSnapshot(peer, p)
		return
	}
	entries := n.log.batch(p.nextIndex, maxAppend)
	n.send(peer, &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_APPEND, Term: n.term,
		LogIndex: p.nextIndex - 1, LogTerm: before, Entries: entries, Commit: n.commitIndex,
		Silences: n.silences(), Round: n.round,
	})
	p.nextIndex += uint64(len(entries))
}

func (n *Node) sendSnapshot(peer figbank.ProcessID, p *progress) {
	snapshot := n.log.snapshot
	n.send(peer, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_SNAPSHOT, Term: n.term, Snapshot: snapshot, Round: n.round})
	p.nextIndex = snapshot.GetIndex() + 1
}

func (n *Node) handleAppend(m *schema.RaftMessage) {
	from := figbank.ProcessID(m.GetFrom())
	if m.GetTerm() < n.term {
		n.answerAppend(m, false, 0)
		return
	}
	n.followLeader(from)
	n.noteSilences(from, m.GetSilences())
	if m.GetLogIndex() < n.commitIndex {
		// All entries up to the commit index are in the log of every later leader, so
		// they match.
		n.answerAppend(m, true, n.commitIndex)
		return
	}
	term, found := n.log.termAt(m.GetLogIndex())
	if !found || term != m.GetLogTerm() {
		n.answerAppend(m, false, n.resumeHint(m.GetLogIndex()))
		return
	}
	n.acceptEntries(m.GetEntries())
	matched := m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commitIndex = max(n.commitIndex, min(m.GetCommit(), matched))
	n.answerAppend(m, true, matched)
}

func (n *Node) followLeader(leader figbank.ProcessID) {
	n.becomeFollower(n.term, leader, LeaderHeard)
	n.lastLeaderContact = n.now
}

// acceptEntries adds a leader's entries to the log. It skips those that the log already contains.
// At the first entry that the log lacks or has with another term, it truncates the log and appends
// the rest.
func (n *Node) acceptEntries(entries []*schema.Entry) {
	for i, entry := range entries {
		term, found := n.log.termAt(entry.GetIndex())
		if found && term == entry.GetTerm() {
			continue
		}
		n.log.truncate(entry.GetIndex())
		n.persistedIndex = min(n.persistedIndex, entry.GetIndex()-1)
		n.ready.Entries = slices.DeleteFunc(n.ready.Entries, func(e *schema.Entry) bool {
			return e.GetIndex() >= entry.GetIndex()
		})
		n.log.append(entries[i:]...)
		n.ready.Entries = append(n.ready.Entries, entries[i:]...)
		return
	}
}

// resumeHint returns the index after which the leader should resume when the entry at index is
// missing or has another term. If the log ends before index, the result is its last index.
// Otherwise resumeHint goes back over all uncommitted entries of the mismatched term, so that the
// leader need not try them one by one.
func (n *Node) resumeHint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	mismatchedTerm, _ := n.log.termAt(index)
	for index > n.commitIndex {
		term, found := n.log.termAt(index)
		if !found || term != mismatchedTerm {
			break
		}
		index--
	}
	return index
}

func (n *Node) answerAppend(m *schema.RaftMessage, granted bool, match uint64) {
	n.send(figbank.ProcessID(m.GetFrom()), &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_APPEND_ANSWER, Term: n.term, Granted: granted, Match: match, Round: m.GetRound(),
		KnownCommit: proto.Uint64(n.commitIndex),
	})
}

func (n *Node) handleAppendAnswer(m *schema.RaftMessage) {
	if n.role != Leader || m.GetTerm() != n.term {
		return
	}
	peer := figbank.ProcessID(m.GetFrom())
	p := n.progress[peer]
	if p == nil {
		return
	}
	p.lastContact = n.now
	p.confirmedRound = max(p.confirmedRound, m.GetRound())
	if !m.GetGranted() {
		p.nextIndex = max(p.matchIndex, min(m.GetMatch(), n.log.last())) + 1
		n.sendAppend(peer)
		return
	}
	p.matchIndex = max(p.matchIndex, m.GetMatch())
	p.noteKnownCommit(m)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommit()
	if p.nextIndex <= n.log.last() {
		n.sendAppend(peer)
	}
}

func (n *Node) handleSnapshot(m *schema.RaftMessage) {
	from := figbank.ProcessID(m.GetFrom())
	if m.GetTerm() < n.term {
		n.answerAppend(m, false, 0)
		return
	}
	n.followLeader(from)
	snapshot := m.GetSnapshot()
	term, found := n.log.termAt(snapshot.GetIndex())
	switch {
	case snapshot.GetIndex() <= n.commitIndex:
	case found && term == snapshot.GetTerm():
		// The snapshot comes late: the log already contains the last entry that it covers. Later
		// entries must remain, since this replica may have reported to the leader that they are
		// synced.
		n.commitIndex = snapshot.GetIndex()
	default:
		n.log.reset(snapshot)
		n.commitIndex = snapshot.GetIndex()
		n.deliveredIndex = n.commitIndex
		n.persistedIndex = n.commitIndex
		n.ready.Snapshot = snapshot
		n.ready.Entries = nil
	}
	n.answerAppend(m, true, n.commitIndex)
}

// advanceCommit commits all entries up to quorumIndex, if the entry at that index is of the current
// term. Entries of earlier terms are only committed together with one of the current term (Raft
// paper, section 5.4.2).
func (n *Node) advanceCommit() {
	agreed := n.quorumIndex()
	term, found := n.log.termAt(agreed)
	if agreed <= n.commitIndex || !found || term != n.term {
		return
	}
	n.commitIndex = agreed
	// Send followers the new commit index at once instead of with the next heartbeat.
	n.broadcastAppend()
	n.advanceMembershipChange()
}

// quorumIndex returns the highest index that a majority of the voters has synced. During a joint
// change, a majority of the outgoing voters must have synced it too.
func (n *Node) quorumIndex() uint64 {
	return n.agreedIndex(func(id figbank.ProcessID) uint64 {
		if id == n.id {
			return n.persistedIndex
		}
		return n.MatchIndex(id)
	})
}

// agreedIndex returns the highest value that a majority of the voters has reached. During a joint change, a
// majority of the outgoing voters must have reached it too.
func (n *Node) agreedIndex(indexOf func(figbank.ProcessID) uint64) uint64 {
	agreed := indexOfMajority(n.log.members.GetVoters(), indexOf)
	if outgoing := n.log.members.GetOutgoing(); len(outgoing) > 0 {
		agreed = min(agreed, indexOfMajority(outgoing, indexOf))
	}
	return agreed
}

// indexOfMajority returns the highest value that a majority of the voters has reached.
func indexOfMajority(voters []*schema.Voter, indexOf func(figbank.ProcessID) uint64) uint64 {
	indexes := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		indexes = append(indexes, indexOf(figbank.ProcessID(voter.GetId())))
	}
	if len(indexes) == 0 {
		return 0
	}
	slices.Sort(indexes)
	return indexes[(len(indexes)-1)/2]
}
