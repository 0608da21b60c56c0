package raft

import (
	"slices"
	"time"

	"figbank"
	"figbank/schema"
)

// MembersOf returns a membership of voters whose addresses equal their ids.
func MembersOf(ids ...figbank.ProcessID) *schema.Membership {
	members := &schema.Membership{}
	for _, id := range ids {
		members.Voters = append(members.Voters, &schema.Voter{Id: string(id), Address: string(id)})
	}
	return members
}

// Membership is the newest in this replica's log, in force from the moment that
// it is there (Ongaro's thesis, section 4.1).
func (n *Node) Membership() *schema.Membership {
	return n.log.members
}

// MembershipSettled tells whether the newest membership is committed and no
// change is under way.
func (n *Node) MembershipSettled() bool {
	return n.log.membersIndex <= n.commit && len(n.log.members.GetOutgoing()) == 0
}

// MembershipAt returns the membership as of an index that the log still has.
func (n *Node) MembershipAt(index uint64) *schema.Membership {
	return n.log.membershipAt(index)
}

// Match is how far a leader knows another replica to have synced the log.
func (n *Node) Match(id figbank.ProcessID) uint64 {
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// Heard is when a leader last heard another replica, zero for never.
func (n *Node) Heard(id figbank.ProcessID) time.Time {
	if p := n.progress[id]; p != nil {
		return p.heard
	}
	return time.Time{}
}

// ProposeMembership changes voters and learners. Other voters take over through
// a joint change, in which majorities of both sets are needed; the leader ends
// it by itself. One change is under way at a time.
func (n *Node) ProposeMembership(next *schema.Membership) error {
	if n.role != Leader || !n.MembershipSettled() {
		return figbank.NotAcceptedError{Leader: n.leader, Detail: "not the leader, or a change of members is under way"}
	}
	change := &schema.Membership{Voters: next.GetVoters(), Learners: next.GetLearners()}
	if !sameVoters(n.log.members.GetVoters(), next.GetVoters()) {
		change.Outgoing = n.log.members.GetVoters()
	}
	n.appendMembership(change)
	return nil
}

func (n *Node) appendMembership(members *schema.Membership) {
	n.appendOwn(&schema.Entry{Index: n.log.last() + 1, Term: n.term, Membership: members})
	n.broadcastAppend()
}

// settleMembership goes on with a change once its entry is committed: from both
// sets to the new one, and out of office if this replica is not in it.
func (n *Node) settleMembership() {
	members := n.log.members
	if n.role != Leader || n.log.membersIndex > n.commit {
		return
	}
	switch {
	case len(members.GetOutgoing()) > 0:
		n.appendMembership(&schema.Membership{Voters: members.GetVoters(), Learners: members.GetLearners()})
	case !holds(members.GetVoters(), n.id):
		n.becomeFollower(n.term, "")
	}
}

// agree tells whether majorities of all sets of voters satisfy a condition.
func (n *Node) agree(satisfies func(figbank.ProcessID) bool) bool {
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

// mayVote tells whether this replica votes under its newest membership.
func (n *Node) mayVote() bool {
	return holds(n.log.members.GetVoters(), n.id) || holds(n.log.members.GetOutgoing(), n.id)
}

// eachVoter calls act for every other replica that votes, eachPeer also for
// learners.
func (n *Node) eachVoter(act func(figbank.ProcessID)) {
	n.each(act, n.log.members.GetVoters(), n.log.members.GetOutgoing())
}

func (n *Node) eachPeer(act func(figbank.ProcessID)) {
	n.each(act, n.log.members.GetVoters(), n.log.members.GetOutgoing(), n.log.members.GetLearners())
}

func (n *Node) each(act func(figbank.ProcessID), sets ...[]*schema.Voter) {
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

func holds(voters []*schema.Voter, id figbank.ProcessID) bool {
	return slices.ContainsFunc(voters, func(v *schema.Voter) bool { return v.GetId() == string(id) })
}

func sameVoters(a, b []*schema.Voter) bool {
	return slices.EqualFunc(a, b, func(x, y *schema.Voter) bool { return x.GetId() == y.GetId() })
}
