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
	// maxSilence is how long the leader waits to hear from a voter before a spare replaces
	// it, or from a learner before it is removed.
	maxSilence = 3 * time.Second
	// maxPromotionSilence is how recently the leader must have heard from a learner to make
	// it a voter. A learner that has just lost its disk would become a voter that does not
	// answer, and the loss of one more voter would leave the rest without a majority.
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

	// Situation is what the leader of the log knows about the replicas.
	Situation struct {
		// Members is the newest membership. No membership change may be in progress.
		Members *schema.Membership
		// Wanted is how many replicas should vote, as the function Wanted returns it.
		Wanted int
		// Known lists the replicas that the leader's process is in contact with, members of
		// the log or not, itself included.
		Known []Replica
		// Heard is the time since the leader last heard from each voter and learner.
		Heard map[figbank.ProcessID]time.Duration
		// Lag is the number of committed entries that each learner still lacks.
		Lag map[figbank.ProcessID]uint64
	}
)

// Wanted returns how many replicas have to vote so that, after the loss of lostDisks
// disks at once, an entry that a majority had synced still exists and the remaining
// replicas can elect a leader.
func Wanted(lostDisks int) int {
	return 2*lostDisks + 1
}

// Decide returns the membership to propose next, or nil if no change is needed or
// possible.
func Decide(s Situation) *schema.Membership {
	toReplace := s.voterToReplace()
	if learners := s.Members.GetLearners(); len(learners) > 0 {
		return s.promoteOrDropLearner(learners[0], toReplace)
	}
	if toReplace == nil && len(s.Members.GetVoters()) >= s.Wanted {
		return nil
	}
	spare := s.spareFor(toReplace)
	if spare == nil {
		return nil
	}
	return &schema.Membership{Voters: s.Members.GetVoters(), Learners: []*schema.Voter{spare}}
}

// promoteOrDropLearner returns the next membership while there is a learner. A learner
// that has caught up becomes a voter, in place of the voter toReplace if that is not
// nil. A learner that is no longer needed, is silent or has lost its disk is removed.
func (s Situation) promoteOrDropLearner(learner, toReplace *schema.Voter) *schema.Membership {
	id := figbank.ProcessID(learner.GetId())
	switch {
	case toReplace == nil && len(s.Members.GetVoters()) >= s.Wanted, s.Heard[id] > maxSilence, s.addressReused(learner):
		return &schema.Membership{Voters: s.Members.GetVoters()}
	case s.Heard[id] > maxPromotionSilence, s.Lag[id] > maxPromotionLag:
		return nil
	}
	next := slices.Clone(s.Members.GetVoters())
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
func (s Situation) voterToReplace() *schema.Voter {
	rules := []func(*schema.Voter) bool{s.addressReused, s.isSilent, s.isLeaving}
	for _, rule := range rules {
		if i := slices.IndexFunc(s.Members.GetVoters(), rule); i >= 0 {
			return s.Members.GetVoters()[i]
		}
	}
	return nil
}

// addressReused reports whether another replica now runs at the voter's address, which
// means that the voter has lost its disk.
func (s Situation) addressReused(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Known, func(r Replica) bool {
		return string(r.Address) == voter.GetAddress() && string(r.ID) != voter.GetId()
	})
}

func (s Situation) isSilent(voter *schema.Voter) bool {
	return s.Heard[figbank.ProcessID(voter.GetId())] > maxSilence
}

func (s Situation) isLeaving(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Known, func(r Replica) bool { return string(r.ID) == voter.GetId() && r.Leaving })
}

// spareFor returns a replica that can replace a voter, or that can vote in addition
// if voter is nil. It prefers the replica at the voter's own address, then one in the
// failure domain with the fewest voters. It returns nil if there is none.
func (s Situation) spareFor(voter *schema.Voter) *schema.Voter {
	var spare *schema.Voter
	counts := s.votersByDomain(voter)
	fewest := 0
	for _, known := range s.Known {
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

// votersByDomain counts the voters in each failure domain, except the one to be
// replaced.
func (s Situation) votersByDomain(without *schema.Voter) map[figbank.FailureDomain]int {
	counts := map[figbank.FailureDomain]int{}
	for _, voter := range s.Members.GetVoters() {
		i := slices.IndexFunc(s.Known, func(r Replica) bool { return string(r.Address) == voter.GetAddress() })
		if i >= 0 && voter.GetId() != without.GetId() {
			counts[s.Known[i].Domain]++
		}
	}
	return counts
}

func (s Situation) isVoter(id figbank.ProcessID) bool {
	return slices.ContainsFunc(s.Members.GetVoters(), func(v *schema.Voter) bool { return v.GetId() == string(id) })
}
