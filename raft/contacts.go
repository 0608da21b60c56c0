package raft

import (
	"time"

	"figbank"
	"figbank/schema"
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

// noteHeard records that another member was alive at a time.
func (n *Node) noteHeard(id figbank.ProcessID, at time.Time) {
	if n.heard[id].Before(at) && n.isMember(id) {
		n.heard[id] = at
	}
}

func (n *Node) isMember(id figbank.ProcessID) bool {
	members := n.log.members
	return containsVoter(members.GetVoters(), id) || containsVoter(members.GetOutgoing(), id) || containsVoter(members.GetLearners(), id)
}

// Contact returns when another replica was last known to be alive, by whatever leader, and since when this
// leader has been sending to it. A replica of which nothing is known counts as alive when this leader first
// sent to it. Contact returns zero times for a replica to which this one does not send as leader.
func (n *Node) Contact(id figbank.ProcessID) (heard, since time.Time) {
	p := n.progress[id]
	if p == nil {
		return time.Time{}, time.Time{}
	}
	if at, found := n.heard[id]; found {
		return at, p.since
	}
	return p.since, p.since
}

// silences lists the peers that this leader has not heard within an election timeout. Its followers take
// it over, so that the next leader does not count from the start.
func (n *Node) silences() []*schema.PeerSilence {
	var silent []*schema.PeerSilence
	n.eachPeer(func(id figbank.ProcessID) {
		// A replica may be unheard of before this leader has sent it anything.
		heard, found := n.heard[id]
		if !found && n.progress[id] != nil {
			heard, found = n.progress[id].since, true
		}
		if silence := n.now.Sub(heard); found && silence > n.timing.ElectionTimeout {
			silent = append(silent, &schema.PeerSilence{Id: string(id), Milliseconds: silence.Milliseconds()})
		}
	})
	return silent
}

// noteSilences records which of the other replicas the leader has heard lately, and for how long it has not
// heard the rest.
func (n *Node) noteSilences(leader figbank.ProcessID, silent []*schema.PeerSilence) {
	silences := map[figbank.ProcessID]time.Duration{}
	for _, s := range silent {
		silences[figbank.ProcessID(s.GetId())] = time.Duration(s.GetMilliseconds()) * time.Millisecond
	}
	n.eachPeer(func(id figbank.ProcessID) {
		if id != leader {
			n.noteHeard(id, n.now.Add(-silences[id]))
		}
	})
}
