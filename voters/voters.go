// Package voters decides which replicas vote in the replicated log: as many as are
// needed to survive the loss of a given number of disks at once, spread over failure
// domains. A voter that is lost or about to leave is replaced by a learner that has
// caught up. The package covers growth from a few seeds, the permanent loss of a host,
// a host that comes back with an empty disk, a planned replacement, and a second loss
// right after a first.
package voters

import (
	"slices"
	"time"

	"figbank"
	"figbank/schema"
)

const (
	// maxSilence is how long the leader may hear nothing from a voter before a spare
	// replaces it, or from a learner before it is removed.
	maxSilence = 3 * time.Second
	// maxPromotionSilence is how recently the leader must have heard from a learner to make it a
	// voter. Without this limit, a learner that has just lost its disk could become a voter that
	// does not answer. The loss of one more voter would then leave the rest without a majority.
	maxPromotionSilence = 500 * time.Millisecond
	// maxPromotionLag is how many committed entries a learner may lack when it becomes a
	// voter.
	maxPromotionLag = 16
)

type (
	// Replica is a process that can store the log on its disk.
	Replica struct {
		ID      figbank.ProcessID
		Address figbank.Address
		Domain  figbank.FailureDomain
		// Leaving is set for a replica that is about to stop.
		Leaving bool
	}

	// ClusterState is what the leader of the log knows about the replicas.
	ClusterState struct {
		// Membership is the newest membership. No membership change may be in progress.
		Membership *schema.Membership
		// VoterCount is how many replicas should vote, as RequiredVoters returns it.
		VoterCount int
		// Replicas lists the replicas that the leader's process is in contact with, including
		// itself and replicas that are not members of the log.
		Replicas []Replica
		// SinceContact is the time since the leader last heard from each voter and learner. A
		// missing id, such as the leader's own, counts as zero.
		SinceContact map[figbank.ProcessID]time.Duration
		// Lag is the number of committed entries that each learner still lacks. A missing id counts
		// as zero.
		Lag map[figbank.ProcessID]uint64
	}
)

// RequiredVoters returns how many voters are needed to survive the loss of lostDisks disks at once.
// Every entry that a majority has synced must still exist, and the remaining voters must be able to
// elect a leader.
func RequiredVoters(lostDisks int) int {
	return 2*lostDisks + 1
}

// NextMembership returns the membership to propose next, or nil if no change is needed or
// possible. It never reduces the number of voters.
func NextMembership(s ClusterState) *schema.Membership {
	toReplace := s.voterToReplace()
	if learners := s.Membership.GetLearners(); len(learners) > 0 {
		return s.promoteOrDropLearner(learners[0], toReplace)
	}
	if toReplace == nil && len(s.Membership.GetVoters()) >= s.VoterCount {
		return nil
	}
	spare := s.spareFor(toReplace)
	if spare == nil {
		return nil
	}
	return &schema.Membership{Voters: s.Membership.GetVoters(), Learners: []*schema.Voter{spare}}
}

// promoteOrDropLearner returns the next membership while there is a learner. A learner
// that has caught up becomes a voter, in place of the voter toReplace if that is not
// nil. A learner that is no longer needed, is silent or has lost its disk is removed.
func (s ClusterState) promoteOrDropLearner(learner, toReplace *schema.Voter) *schema.Membership {
	id := figbank.ProcessID(learner.GetId())
	switch {
	case toReplace == nil && len(s.Membership.GetVoters()) >= s.VoterCount, s.SinceContact[id] > maxSilence, s.addressReused(learner):
		return &schema.Membership{Voters: s.Membership.GetVoters()}
	case s.SinceContact[id] > maxPromotionSilence, s.Lag[id] > maxPromotionLag:
		return nil
	}
	next := slices.Clone(s.Membership.GetVoters())
	if toReplace == nil {
		return &schema.Membership{Voters: append(next, learner)}
	}
	for i, voter := range next {
		if voter.GetId() == toReplace.GetId() {
			next[i] = learner
		}
	}
	return &schema.Membership{Voters: next}
}

// voterToReplace returns the voter to replace first, or nil if there is none: one whose
// host is back with an empty disk, else one that is silent, else one that is leaving.
func (s ClusterState) voterToReplace() *schema.Voter {
	rules := []func(*schema.Voter) bool{s.addressReused, s.isSilent, s.isLeaving}
	for _, rule := range rules {
		if i := slices.IndexFunc(s.Membership.GetVoters(), rule); i >= 0 {
			return s.Membership.GetVoters()[i]
		}
	}
	return nil
}

// addressReused reports whether another replica now runs at the voter's address, which
// means that the voter has lost its disk.
func (s ClusterState) addressReused(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Replicas, func(r Replica) bool {
		return string(r.Address) == voter.GetAddress() && string(r.ID) != voter.GetId()
	})
}

func (s ClusterState) isSilent(voter *schema.Voter) bool {
	return s.SinceContact[figbank.ProcessID(voter.GetId())] > maxSilence
}

func (s ClusterState) isLeaving(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Replicas, func(r Replica) bool { return string(r.ID) == voter.GetId() && r.Leaving })
}

// spareFor returns a replica that can replace a voter, or that can vote in addition
// if voter is nil. It prefers the replica at the voter's own address, then one in the
// failure domain with the fewest voters. It returns nil if there is none.
func (s ClusterState) spareFor(voter *schema.Voter) *schema.Voter {
	var spare *schema.Voter
	counts := s.votersByDomain(voter)
	fewest := 0
	for _, known := range s.Replicas {
		if known.Leaving || s.isVoter(known.ID) {
			continue
		}
		candidate := &schema.Voter{Id: string(known.ID), Address: string(known.Address)}
		if voter != nil && candidate.GetAddress() == voter.GetAddress() {
			return candidate
		}
		count := counts[known.Domain]
		if spare == nil || count < fewest || count == fewest && candidate.GetId() < spare.GetId() {
			spare, fewest = candidate, count
		}
	}
	return spare
}

// votersByDomain counts the voters in each failure domain. It leaves out the voter passed as
// excluded, if any, and voters at whose address no known replica runs.
func (s ClusterState) votersByDomain(excluded *schema.Voter) map[figbank.FailureDomain]int {
	counts := map[figbank.FailureDomain]int{}
	for _, voter := range s.Membership.GetVoters() {
		i := slices.IndexFunc(s.Replicas, func(r Replica) bool { return string(r.Address) == voter.GetAddress() })
		if i >= 0 && voter.GetId() != excluded.GetId() {
			counts[s.Replicas[i].Domain]++
		}
	}
	return counts
}

func (s ClusterState) isVoter(id figbank.ProcessID) bool {
	return slices.ContainsFunc(s.Membership.GetVoters(), func(v *schema.Voter) bool { return v.GetId() == string(id) })
}
