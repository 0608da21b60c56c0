package raft

import (
	"time"

	"figbank"
	"figbank/schema"
)

// HandOver asks the voter that has most of the log to stand for election at once, so that the log need not wait for
// an election timeout when this leader is about to stop. It reports whether there was one to ask.
func (n *Node) HandOver(now time.Time) bool {
	n.now = now
	return n.role == Leader && n.askToCampaign()
}

// askToCampaign asks the heir to stand for election, if there is one.
func (n *Node) askToCampaign() bool {
	heir := n.heir()
	if heir == "" {
		return false
	}
	n.send(heir, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_CAMPAIGN, Term: n.term})
	return true
}

// heir returns the voter that has most of the log among those that this leader has heard within the election timeout, or "".
func (n *Node) heir() figbank.ProcessID {
	var heir figbank.ProcessID
	for _, voter := range n.log.members.GetVoters() {
		id := figbank.ProcessID(voter.GetId())
		p := n.progress[id]
		if id == n.id || p == nil || n.now.Sub(p.lastContact) >= n.timing.ElectionTimeout {
			continue
		}
		if heir == "" || p.matchIndex > n.progress[heir].matchIndex {
			heir = id
		}
	}
	return heir
}

// handleCampaign stands for election on behalf of the leader of the term.
func (n *Node) handleCampaign(m *schema.RaftMessage) {
	if m.GetTerm() == n.term && n.role != Leader && n.isVoter() {
		n.startElection(AskedToLead)
	}
}
