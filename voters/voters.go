// Package voters decides which replicas vote in the replicated log: as many as are
// needed to survive the loss of a given number of disks at once, spread over failure
// domains. One spare replica, if there is any, is a learner at all times, so that a voter
// that is lost or about to leave can be replaced at once. The package covers growth from a
// few seeds, the permanent loss of a host, a host that comes back with an empty disk, a
// planned replacement, and a second loss right after a first.
package voters

import (
	"cmp"
	"slices"
	"time"

	"figbank"
	"figbank/schema"
)

const (
	// maxSilence is how long a voter may be silent before a spare replaces it, or a learner before it
	// is removed.
	maxSilence = 3 * time.Second
	// maxSilenceWithStandby is how long a voter may be silent while a learner could replace it at once. A voter
	// that only paused is a spare then, and nothing is lost.
	maxSilenceWithStandby = time.Second
	// maxLiveSilence is how recently the leader must have heard from a replica to be sure that it
	// runs with its disk. Without this limit, a learner that has just lost its disk could become a
	// voter that does not answer. The loss of one more voter would then leave the rest without a
	// majority.
	maxLiveSilence = 500 * time.Millisecond
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
		// LastKnown is set for a replica that only a process which is lost has reported. It may be
		// gone, so it proves nothing but in which failure domain its address is.
		LastKnown bool
	}

	// Contact is what the leader has heard from a voter or learner.
	Contact struct {
		// Silence is the time since any leader last heard from it, as far as this leader knows.
		Silence time.Duration
		// Tried is the time since this leader first sent to it.
		Tried time.Duration
		// Answered is set once it has confirmed to this leader what it has of the log.
		Answered bool
		// Lag is the number of committed entries that it still lacks.
		Lag uint64
	}

	// ClusterState is what the leader of the log knows about the replicas.
	ClusterState struct {
		// Membership is the newest membership. No membership change may be in progress.
		Membership *schema.Membership
		// VoterCount is how many replicas should vote, as RequiredVoters returns it.
		VoterCount int
		// Replicas lists the replicas that the leader's process knows, including itself and
		// replicas that are not members of the log.
		Replicas []Replica
		// Contacts holds all voters and learners but the leader itself.
		Contacts map[figbank.ProcessID]Contact
		// Failed holds replicas that were learners a short time ago and did not answer.
		Failed map[figbank.ProcessID]bool
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
	toReplace, _ := s.voterToReplace()
	if learners := s.Membership.GetLearners(); len(learners) > 0 {
		return s.promoteOrDropLearner(learners[0], toReplace)
	}
	spare := s.spareFor(toReplace)
	if spare == nil || !s.needsVoter(toReplace) && s.Failed[figbank.ProcessID(spare.GetId())] {
		return nil
	}
	return &schema.Membership{Voters: s.Membership.GetVoters(), Learners: []*schema.Voter{spare}}
}

// needsVoter reports whether a learner is to become a voter as soon as it has caught up.
func (s ClusterState) needsVoter(toReplace *schema.Voter) bool {
	return toReplace != nil || len(s.Membership.GetVoters()) < s.VoterCount
}

// promoteOrDropLearner returns the next membership while there is a learner. A learner that has caught up
// becomes a voter if one is needed, in place of the voter toReplace if that is not nil. A learner that is
// silent, has lost its disk or leaves is removed. If another spare would keep the voters further apart,
// that one becomes the learner.
func (s ClusterState) promoteOrDropLearner(learner, toReplace *schema.Voter) *schema.Membership {
	switch {
	case s.isSilent(learner), s.addressReused(learner), s.isLeaving(learner):
		return &schema.Membership{Voters: s.Membership.GetVoters()}
	}
	if better := s.betterLearner(learner, toReplace); better != nil {
		return &schema.Membership{Voters: s.Membership.GetVoters(), Learners: []*schema.Voter{better}}
	}
	if !s.needsVoter(toReplace) {
		return nil
	}
	if !s.isCaughtUp(figbank.ProcessID(learner.GetId())) {
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

// betterLearner returns a spare that should be the learner in place of the present one, or nil: one whose
// failure domain has fewer voters, if a voter is needed, or any, if the learner has not been heard at all. The
// voter toReplace does not count.
func (s ClusterState) betterLearner(learner, toReplace *schema.Voter) *schema.Voter {
	others := s
	others.Replicas = slices.DeleteFunc(slices.Clone(s.Replicas), func(r Replica) bool { return string(r.ID) == learner.GetId() })
	spare := others.spareFor(toReplace)
	if spare == nil || s.Failed[figbank.ProcessID(spare.GetId())] {
		return nil
	}
	votersBeside := s.votersBeside(toReplace)
	if s.isAbsent(learner) || s.needsVoter(toReplace) && votersBeside(spare) < votersBeside(learner) {
		return spare
	}
	return nil
}

// isAbsent reports whether a learner has not been heard since this leader first sent to it, for so long that
// it may be gone: a lost host is listed among the replicas for some seconds.
func (s ClusterState) isAbsent(learner *schema.Voter) bool {
	contact := s.Contacts[figbank.ProcessID(learner.GetId())]
	return contact.Silence >= contact.Tried && contact.Tried > maxSilenceWithStandby
}

// voterToReplace returns the voter to replace first, or nil if there is none: one whose host is back with
// an empty disk, else one that is silent, else one that is leaving. Among several it is the one that has been
// silent for longest.
func (s ClusterState) voterToReplace() (*schema.Voter, Reason) {
	rules := []struct {
		reason  Reason
		applies func(*schema.Voter) bool
	}{{AddressReused, s.addressReused}, {Silent, s.isLost}, {Leaving, s.isLeaving}}
	for _, rule := range rules {
		if voter := s.longestSilent(rule.applies); voter != nil {
			return voter, rule.reason
		}
	}
	return nil, NoReason
}

// longestSilent returns the voter that satisfies a condition and has been silent for longest, or nil if none
// satisfies it.
func (s ClusterState) longestSilent(satisfies func(*schema.Voter) bool) *schema.Voter {
	var longest *schema.Voter
	for _, voter := range s.Membership.GetVoters() {
		if satisfies(voter) && (longest == nil || s.silence(voter) > s.silence(longest)) {
			longest = voter
		}
	}
	return longest
}

func (s ClusterState) silence(voter *schema.Voter) time.Duration {
	return s.Contacts[figbank.ProcessID(voter.GetId())].Silence
}

// isLost reports whether a voter has been silent for so long that it is to be replaced.
func (s ClusterState) isLost(voter *schema.Voter) bool {
	return s.isSilent(voter) || s.unheardFor(voter, maxSilenceWithStandby) && s.hasStandbyFor(voter)
}

// hasStandbyFor reports whether a learner can replace a voter at once, without more voters in its failure
// domain than the voter has beside it.
func (s ClusterState) hasStandbyFor(voter *schema.Voter) bool {
	votersBeside := s.votersBeside(voter)
	return slices.ContainsFunc(s.Membership.GetLearners(), func(learner *schema.Voter) bool {
		return s.isCaughtUp(figbank.ProcessID(learner.GetId())) && !s.addressReused(learner) && !s.isLeaving(learner) &&
			votersBeside(learner) <= votersBeside(voter)
	})
}

// addressReused reports whether another replica now runs at the voter's address, which means that
// the voter has lost its disk. A voter that still answers has not, whoever else is reported there:
// the report may be of an earlier incarnation.
func (s ClusterState) addressReused(voter *schema.Voter) bool {
	return s.unheardFor(voter, maxLiveSilence) &&
		slices.ContainsFunc(s.Replicas, func(r Replica) bool {
			return !r.LastKnown && string(r.Address) == voter.GetAddress() && string(r.ID) != voter.GetId()
		})
}

func (s ClusterState) isSilent(voter *schema.Voter) bool {
	return s.unheardFor(voter, maxSilence)
}

// unheardFor reports whether no leader has heard a voter or learner for longer than a time. This leader
// must have tried for longer than maxLiveSilence, since an earlier one may have been cut off itself.
func (s ClusterState) unheardFor(voter *schema.Voter, limit time.Duration) bool {
	contact := s.Contacts[figbank.ProcessID(voter.GetId())]
	return contact.Silence > limit && contact.Tried > maxLiveSilence
}

// isCaughtUp reports whether a learner can become a voter. One that has not answered yet cannot,
// however short the log is.
func (s ClusterState) isCaughtUp(learner figbank.ProcessID) bool {
	contact := s.Contacts[learner]
	return contact.Answered && contact.Silence <= maxLiveSilence && contact.Lag <= maxPromotionLag
}

func (s ClusterState) isLeaving(voter *schema.Voter) bool {
	return slices.ContainsFunc(s.Replicas, func(r Replica) bool {
		return !r.LastKnown && string(r.ID) == voter.GetId() && r.Leaving
	})
}

// spareFor returns a replica that can replace a voter, or that can vote in addition if voter is nil.
// It returns nil if there is none. A replica at the address of another voter is no spare: only one of
// the two can be running.
func (s ClusterState) spareFor(voter *schema.Voter) *schema.Voter {
	spares := slices.DeleteFunc(slices.Clone(s.Replicas), func(r Replica) bool {
		return r.LastKnown || r.Leaving || s.isVoter(r.ID) || s.hasVoterAt(r.Address, voter)
	})
	if len(spares) == 0 {
		return nil
	}
	best := slices.MinFunc(spares, s.preferSpare(voter))
	return &schema.Voter{Id: string(best.ID), Address: string(best.Address)}
}

// preferSpare returns a comparison of two replicas that can replace a voter. One that has not just
// failed as a learner comes first, then the one at the voter's own address, then one in the failure
// domain with the fewest voters.
func (s ClusterState) preferSpare(voter *schema.Voter) func(a, b Replica) int {
	counts := s.votersByDomain(voter)
	elsewhere := func(r Replica) bool { return voter == nil || string(r.Address) != voter.GetAddress() }
	return func(a, b Replica) int {
		return cmp.Or(
			compareBools(s.Failed[a.ID], s.Failed[b.ID]),
			compareBools(elsewhere(a), elsewhere(b)),
			cmp.Compare(counts[a.Domain], counts[b.Domain]),
			cmp.Compare(a.ID, b.ID),
		)
	}
}

// compareBools sorts false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// votersByDomain counts the voters in each failure domain. It leaves out the voter passed as
// excluded, if any, and voters at whose address no replica is known.
func (s ClusterState) votersByDomain(excluded *schema.Voter) map[figbank.FailureDomain]int {
	counts := map[figbank.FailureDomain]int{}
	for _, voter := range s.Membership.GetVoters() {
		if domain, found := s.domainAt(voter.GetAddress()); found && voter.GetId() != excluded.GetId() {
			counts[domain]++
		}
	}
	return counts
}

// votersBeside returns a function that counts the voters in the failure domain of a replica. It leaves out
// the voter passed as excluded.
func (s ClusterState) votersBeside(excluded *schema.Voter) func(*schema.Voter) int {
	counts := s.votersByDomain(excluded)
	return func(v *schema.Voter) int {
		domain, _ := s.domainAt(v.GetAddress())
		return counts[domain]
	}
}

// domainAt returns the failure domain of an address: that of the replica which runs there, or else
// of the last one that is known.
func (s ClusterState) domainAt(address string) (figbank.FailureDomain, bool) {
	var domain figbank.FailureDomain
	found := false
	for _, r := range s.Replicas {
		if string(r.Address) != address {
			continue
		}
		if !r.LastKnown {
			return r.Domain, true
		}
		domain, found = r.Domain, true
	}
	return domain, found
}

// hasVoterAt reports whether a voter other than the excluded one has an address.
func (s ClusterState) hasVoterAt(address figbank.Address, excluded *schema.Voter) bool {
	return slices.ContainsFunc(s.Membership.GetVoters(), func(v *schema.Voter) bool {
		return v.GetAddress() == string(address) && v.GetId() != excluded.GetId()
	})
}

func (s ClusterState) isVoter(id figbank.ProcessID) bool {
	return slices.ContainsFunc(s.Membership.GetVoters(), func(v *schema.Voter) bool { return v.GetId() == string(id) })
}
