package raft

import (
	"slices"

	"figbank"
	"figbank/schema"
)

func (n *Node) tickLeader() {
	if !n.heardQuorum() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now.Before(n.heartbeatAt) {
		return
	}
	n.broadcastAppend()
}

func (n *Node) appendOwn(entry *schema.Entry) {
	n.log.append(entry)
	n.ready.Entries = append(n.ready.Entries, entry)
}

func (n *Node) broadcastAppend() {
	n.heartbeatAt = n.now.Add(n.timing.HeartbeatInterval)
	n.eachPeer(n.sendAppend)
}

// sendAppend sends what the follower lacks, or an empty message as heartbeat.
// It counts on delivery; a follower that missed some answers where to resume.
func (n *Node) sendAppend(peer figbank.ProcessID) {
	p := n.progress[peer]
	if p == nil {
		p = &progress{next: n.log.last() + 1, heard: n.now}
		n.progress[peer] = p
	}
	before, found := n.log.termAt(p.next - 1)
	if !found {
		n.sendSnapshot(peer, p)
		return
	}
	entries := n.log.batch(p.next, maxAppend)
	n.send(peer, &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_APPEND, Term: n.term,
		LogIndex: p.next - 1, LogTerm: before, Entries: entries, Commit: n.commit,
	})
	p.next += uint64(len(entries))
}

func (n *Node) sendSnapshot(peer figbank.ProcessID, p *progress) {
	snapshot := n.log.snapshot
	n.send(peer, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_SNAPSHOT, Term: n.term, Snapshot: snapshot})
	p.next = snapshot.GetIndex() + 1
}

func (n *Node) handleAppend(m *schema.RaftMessage) {
	from := figbank.ProcessID(m.GetFrom())
	if m.GetTerm() < n.term {
		n.answerAppend(from, false, 0)
		return
	}
	n.followLeader(from)
	if m.GetLogIndex() < n.commit {
		// Everything up to the commit index agrees with any later leader.
		n.answerAppend(from, true, n.commit)
		return
	}
	term, found := n.log.termAt(m.GetLogIndex())
	if !found || term != m.GetLogTerm() {
		n.answerAppend(from, false, n.resumeHint(m.GetLogIndex()))
		return
	}
	n.acceptEntries(m.GetEntries())
	matched := m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commit = max(n.commit, min(m.GetCommit(), matched))
	n.answerAppend(from, true, matched)
}

func (n *Node) followLeader(leader figbank.ProcessID) {
	n.becomeFollower(n.term, leader)
	n.leaderHeard = n.now
}

func (n *Node) acceptEntries(entries []*schema.Entry) {
	for i, entry := range entries {
		term, found := n.log.termAt(entry.GetIndex())
		if found && term == entry.GetTerm() {
			continue
		}
		n.log.truncate(entry.GetIndex())
		n.stable = min(n.stable, entry.GetIndex()-1)
		n.ready.Entries = slices.DeleteFunc(n.ready.Entries, func(e *schema.Entry) bool {
			return e.GetIndex() >= entry.GetIndex()
		})
		n.log.append(entries[i:]...)
		n.ready.Entries = append(n.ready.Entries, entries[i:]...)
		return
	}
}

// resumeHint is the index after which the leader should try again: before the
// whole run of entries whose term did not match.
func (n *Node) resumeHint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	wrong, _ := n.log.termAt(index)
	for index > n.commit {
		term, found := n.log.termAt(index)
		if !found || term != wrong {
			break
		}
		index--
	}
	return index
}

func (n *Node) answerAppend(to figbank.ProcessID, granted bool, match uint64) {
	n.send(to, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_APPEND_ANSWER, Term: n.term, Granted: granted, Match: match})
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
	p.heard = n.now
	if !m.GetGranted() {
		p.next = max(p.match, min(m.GetMatch(), n.log.last())) + 1
		n.sendAppend(peer)
		return
	}
	p.match = max(p.match, m.GetMatch())
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if p.next <= n.log.last() {
		n.sendAppend(peer)
	}
}

func (n *Node) handleSnapshot(m *schema.RaftMessage) {
	from := figbank.ProcessID(m.GetFrom())
	if m.GetTerm() < n.term {
		n.answerAppend(from, false, 0)
		return
	}
	n.followLeader(from)
	snapshot := m.GetSnapshot()
	term, found := n.log.termAt(snapshot.GetIndex())
	switch {
	case snapshot.GetIndex() <= n.commit:
	case found && term == snapshot.GetTerm():
		// A late copy: what follows it here has been promised to the leader already.
		n.commit = snapshot.GetIndex()
	default:
		n.log.reset(snapshot)
		n.commit = snapshot.GetIndex()
		n.handed = n.commit
		n.stable = n.commit
		n.ready.Snapshot = snapshot
		n.ready.Entries = nil
	}
	n.answerAppend(from, true, n.commit)
}

// advanceCommit commits the highest entry of the present term that majorities
// have synced; earlier terms' entries are committed with it (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	agreed := n.agreedIndex()
	term, found := n.log.termAt(agreed)
	if agreed <= n.commit || !found || term != n.term {
		return
	}
	n.commit = agreed
	// Followers learn of the commit at once, not with the next heartbeat.
	n.broadcastAppend()
	n.settleMembership()
}

// agreedIndex is the highest index that majorities of all sets of voters have synced.
func (n *Node) agreedIndex() uint64 {
	agreed := n.syncedByMajority(n.log.members.GetVoters())
	if outgoing := n.log.members.GetOutgoing(); len(outgoing) > 0 {
		agreed = min(agreed, n.syncedByMajority(outgoing))
	}
	return agreed
}

func (n *Node) syncedByMajority(voters []*schema.Voter) uint64 {
	synced := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		if voter.GetId() == string(n.id) {
			synced = append(synced, n.stable)
			continue
		}
		synced = append(synced, n.Match(figbank.ProcessID(voter.GetId())))
	}
	if len(synced) == 0 {
		return 0
	}
	slices.Sort(synced)
	return synced[(len(synced)-1)/2]
}
