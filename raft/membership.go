package raft

import (
	"slices"

	"figbank"
	"figbank/schema"
)

// NewMembership returns a membership with the given voters, whose addresses equal their ids.
func NewMembership(ids ...figbank.ProcessID) *schema.Membership {
	members := &schema.Membership{}
	for _, id := range ids {
		members.Voters = append(members.Voters, &schema.Voter{Id: string(id), Address: string(id)})
	}
	return members
}

// Membership returns the newest membership in this replica's log. It is in force
// as soon as it is in the log, committed or not (Ongaro's thesis, section 4.1).
func (n *Node) Membership() *schema.Membership {
	return n.log.members
}

// MembershipSettled reports whether no membership change is in progress: the newest membership is
// committed and is not a joint one.
func (n *Node) MembershipSettled() bool {
	return n.log.membersIndex <= n.commitIndex && len(n.log.members.GetOutgoing()) == 0
}

// MembershipAt returns the membership in force at an index. The log must not have
// been compacted beyond that index.
func (n *Node) MembershipAt(index uint64) *schema.Membership {
	return n.log.membershipAt(index)
}

// MatchIndex returns the highest index up to which another replica is known to have synced the same
// entries as this leader. It returns zero if none is known, and on a replica that is not the
// leader.
func (n *Node) MatchIndex(id figbank.ProcessID) uint64 {
	if p := n.progress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// ProposeMembership changes the voters and learners to those of next. If the voters change, the
// leader first appends a joint membership, under which majorities of both the old and the new
// voters are needed. Once the joint membership is committed, the leader appends the new one.
// ProposeMembership returns a NotAcceptedError while another change is in progress, and on a
// replica that is not the leader.
func (n *Node) ProposeMembership(next *schema.Membership) error {
	if n.role != Leader || !n.MembershipSettled() {
		return figbank.NotAcceptedError{Leader: n.leader, Detail: "this replica is not the leader, or a membership change is in progress"}
	}
	change := &schema.Membership{Voters: next.GetVoters(), Learners: next.GetLearners()}
	if !sameVoters(n.log.members.GetVoters(), next.GetVoters()) {
		change.Outgoing = n.log.members.GetVoters()
	}
	n.appendMembership(change)
	return nil
}

func (n *Node) appendMembership(members *schema.Membership) {
	n.appendEntry(&schema.Entry{Index: n.log.last() + 1, Term: n.term, Membership: members})
	n.forgetRemovedPeers()
	n.broadcastAppend()
}

// forgetRemovedPeers deletes the progress of replicas that the newest membership does not contain. One
// that is added again later starts anew, and is not taken for silent since its removal.
func (n *Node) forgetRemovedPeers() {
	kept := map[figbank.ProcessID]*progress{}
	n.eachPeer(func(id figbank.ProcessID) {
		if p := n.progress[id]; p != nil {
			kept[id] = p
		}
	})
	n.progress = kept
	for id := range n.heard {
		if kept[id] == nil {
			delete(n.heard, id)
		}
	}
}

// advanceMembershipChange continues a membership change once the newest membership is committed. If
// that membership is a joint one, it appends the membership with only the new voters. Otherwise, a
// leader that is not among the voters steps down.
func (n *Node) advanceMembershipChange() {
	members := n.log.members
	if n.role != Leader || n.log.membersIndex > n.commitIndex {
		return
	}
	switch {
	case len(members.GetOutgoing()) > 0:
		n.appendMembership(&schema.Membership{Voters: members.GetVoters(), Learners: members.GetLearners()})
	case !containsVoter(members.GetVoters(), n.id):
		n.askToCampaign()
		n.becomeFollower(n.term, "", Removed)
	}
}

// hasQuorum reports whether a majority of the voters satisfies a condition. During a joint change,
// a majority of the outgoing voters must satisfy it too.
func (n *Node) hasQuorum(satisfies func(figbank.ProcessID) bool) bool {
	members := n.log.members
	if !majority(members.GetVoters(), satisfies) {
		return false
	}
	return len(members.GetOutgoing()) == 0 || majority(members.GetOutgoing(), satisfies)
}

func majority(voters []*schema.Voter, satisfies func(figbank.ProcessID) bool) bool {
	count := 0
	for _, voter := range voters {
		if satisfies(figbank.ProcessID(voter.GetId())) {
			count++
		}
	}
	return count > len(voters)/2
}

// isVoter reports whether this replica is a voter under its newest membership.
func (n *Node) isVoter() bool {
	return containsVoter(n.log.members.GetVoters(), n.id) || containsVoter(n.log.members.GetOutgoing(), n.id)
}

// eachVoter calls act for every other voter.
func (n *Node) eachVoter(act func(figbank.ProcessID)) {
	n.eachOther(act, n.log.members.GetVoters(), n.log.members.GetOutgoing())
}

// eachPeer calls act for every other voter and learner.
func (n *Node) eachPeer(act func(figbank.ProcessID)) {
	n.eachOther(act, n.log.members.GetVoters(), n.log.members.GetOutgoing(), n.log.members.GetLearners())
}

// eachOther calls act once for each replica that is in any of the sets, but not for this
// replica itself.
func (n *Node) eachOther(act func(figbank.ProcessID), sets ...[]*schema.Voter) {
	done := map[string]bool{string(n.id): true}
	for _, set := range sets {
		for _, voter := range set {
			if !done[voter.GetId()] {
				done[voter.GetId()] = true
				act(figbank.ProcessID(voter.GetId()))
			}
		}
	}
}

func containsVoter(voters []*schema.Voter, id figbank.ProcessID) bool {
	return slices.ContainsFunc(voters, func(v *schema.Voter) bool { return v.GetId() == string(id) })
}

// sameVoters reports whether both lists have the same ids in the same order.
func sameVoters(a, b []*schema.Voter) bool {
	return slices.EqualFunc(a, b, func(x, y *schema.Voter) bool { return x.GetId() == y.GetId() })
}
