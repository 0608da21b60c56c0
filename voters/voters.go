// Package voters decides who votes in the replicated log: as many replicas as it
// takes to bear the loss of some disks at once, spread over failure domains. One
// that is gone is replaced by one that has caught up. It answers the first
// growth from a few seeds, the loss of a host for good, a host that comes back
// with an empty disk, a planned replacement, and a second loss right after a first.
package voters

import (
	"slices"
	"time"

	"figbank"
	"figbank/schema"
)

const (
	// silence is how long a voter may be unheard before a spare takes its place.
	silence = 3 * time.Second
	// freshness is how recently a learner must have been heard to take over: one
	// that has just lost its disk would leave the new voters without a majority as
	// soon as a second one is lost.
	freshness = 500 * time.Millisecond
	// closeEnough is how many entries a learner may be behind when it takes over.
	closeEnough = 16
)

type (
	// Replica is a process that has a disk for the log.
	Replica struct {
		ID      figbank.ProcessID
		Address figbank.Address
		Domain  figbank.FailureDomain
		// Leaving replicas are about to stop.
		Leaving bool
	}

	// Situation is what the leader of the log knows.
	Situation struct {
		// Members is the newest membership, settled.
		Members *schema.Membership
		// Wanted is how many should vote; see Wanted.
		Wanted int
		// Known are the replicas that are in touch, by whatever way.
		Known []Replica
		// Heard is how long ago the leader has heard each voter and learner.
		Heard map[figbank.ProcessID]time.Duration
		// Lag is how many entries each learner has yet to get.
		Lag map[figbank.ProcessID]uint64
	}
)

// Wanted is how many replicas have to vote so that what a majority of them has
// outlives the loss of that many disks at once, and those that remain can elect.
func Wanted(lostDisks int) int {
	return 2*lostDisks + 1
}

// Decide returns the membership to change to, or nil for none.
func Decide(s Situation) *schema.Membership {
	gone := s.replaceable()
	if learners := s.Members.GetLearners(); len(learners) > 0 {
		return s.decideLearner(learners[0], gone)
	}
	if gone == nil && len(s.Members.GetVoters()) >= s.Wanted {
		return nil
	}
	spare := s.spareFor(gone)
	if spare == nil {
		return nil
	}
	return &schema.Membership{Voters: s.Members.GetVoters(), Learners: []*schema.Voter{spare}}
}

// decideLearner lets a learner that has caught up vote, in the place of the voter
// that is gone if there is one, or gives it up.
func (s Situation) decideLearner(learner, gone *schema.Voter) *schema.Membership {
	id := figbank.ProcessID(learner.GetId())
	switch {
	case gone == nil && len(s.Members.GetVoters()) >= s.Wanted, s.Heard[id] > silence, s.reborn(learner):
		return &schema.Membership{Voters: s.Members.GetVoters()}
	case s.Heard[id] > freshness, s.Lag[id] > closeEnough:
		return nil
	}
	next := slices.Clone(s.Members.GetVoters())
	if gone == nil {
		return &schema.Membership{Voters: append(next, learner)}
	}
	for i, voter := range next {
		if voter.GetId() == gone.GetId() {
			next[i] = learner
		}
	}
	return &schema.Membership{Voters: next}
}

// replaceable returns the voter that should go first: one whose host is back
// with an empty disk, then one that is silent, then one that is leaving.
func (s Situation) replaceable() *schema.Voter {
	rules := []func(*schema.Voter) bool{s.reborn, s.silent, s.leaving}
	for _, rule := range rules {
		if i := slices.IndexFunc(s.Members.GetVoters(), rule); i >= 0 {
			return s.Members.GetVoters()[i]
		}
	}
	return nil
}

// reborn tells whether another replica stands at the voter's address.
func (s Situation) reborn(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Known, func(r Replica) bool {
		return string(r.Address) == voter.GetAddress() && string(r.ID) != voter.GetId()
	})
}

func (s Situation) silent(voter *schema.Voter) bool {
	return s.Heard[figbank.ProcessID(voter.GetId())] > silence
}

func (s Situation) leaving(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Known, func(r Replica) bool { return string(r.ID) == voter.GetId() && r.Leaving })
}

// spareFor returns a replica that can take a voter's place, or vote beside the
// others when voter is nil: the one at the voter's own address if there is one,
// else one of the failure domain in which the fewest vote.
func (s Situation) spareFor(voter *schema.Voter) *schema.Voter {
	var spare *schema.Voter
	counts := s.votersByDomain(voter)
	fewest := 0
	for _, known := range s.Known {
		if known.Leaving || s.votes(known.ID) {
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

// votersByDomain counts the voters of each failure domain, without one that goes.
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

func (s Situation) votes(id figbank.ProcessID) bool {
	return slices.ContainsFunc(s.Members.GetVoters(), func(v *schema.Voter) bool { return v.GetId() == string(id) })
}
