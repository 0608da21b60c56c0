package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"figbank"
	"figbank/raft"
	"figbank/schema"
	"figbank/voters"

	"go.uber.org/zap"
)

const (
	// reviewInterval is the interval between a leader's checks whether to change the
	// membership.
	reviewInterval = 200 * time.Millisecond
	// failedLearnerTime is how long a learner that never answered comes after all other spares.
	failedLearnerTime = 10 * time.Second
)

// initialMembership returns the voters of a new log, or nil on a replica that will
// be added later.
func initialMembership(settings Settings) *schema.Membership {
	if len(settings.Voters) == 0 {
		return nil
	}
	members := &schema.Membership{}
	for id, address := range settings.Voters {
		members.Voters = append(members.Voters, &schema.Voter{Id: string(id), Address: string(address)})
	}
	slices.SortFunc(members.Voters, func(a, b *schema.Voter) int { return strings.Compare(a.GetId(), b.GetId()) })
	return members
}

// send queues a message for its receiver. It drops the message if the receiver's
// address is unknown, which is safe, since Raft tolerates the loss of messages.
func (r *Replica) send(ctx context.Context, message *schema.RaftMessage) {
	id := figbank.ProcessID(message.GetTo())
	address := r.addressOf(id)
	if address == "" {
		return
	}
	message.FromAddress = string(r.settings.Address)
	s := r.senders[id]
	if s == nil || s.address != address {
		if s != nil {
			s.stop()
		}
		s = r.newSender(ctx, address)
		r.senders[id] = s
		r.group.Go(s.run)
	}
	s.enqueue(message)
}

func (r *Replica) addressOf(id figbank.ProcessID) figbank.Address {
	members := r.node.Membership()
	for _, set := range [][]*schema.Voter{members.GetVoters(), members.GetOutgoing(), members.GetLearners()} {
		for _, voter := range set {
			if voter.GetId() == string(id) {
				return figbank.Address(voter.GetAddress())
			}
		}
	}
	return r.addresses[id]
}

// reviewMembers proposes the next change of the membership if one is needed. It does nothing on a
// replica that is not the leader, during a membership change, or within reviewInterval of the last
// review.
func (r *Replica) reviewMembers() {
	now := r.common.Clock.Now()
	if r.knownReplicas == nil || r.node.Role() != raft.Leader || !r.node.MembershipSettled() || now.Before(r.nextReview) {
		return
	}
	r.nextReview = now.Add(reviewInterval)
	state := r.clusterState(now)
	next := voters.NextMembership(state)
	if next == nil {
		return
	}
	r.noteFailedLearners(now, state, next)
	cause := voters.CauseOf(state)
	err := r.node.ProposeMembership(next)
	r.common.Log.Info("membership change", zap.Strings("voters", idsOf(next.GetVoters())), zap.Strings("learners", idsOf(next.GetLearners())),
		zap.Strings("before", idsOf(r.node.Membership().GetOutgoing())), zap.Bool("proposed", err == nil),
		zap.Stringer("cause", cause.Reason), zap.String("replaces", string(cause.Voter)), zap.String("address", string(cause.Address)),
		zap.Duration("silence", cause.Silence), zap.Int("replicas", len(state.Replicas)))
}

// noteFailedLearners remembers for failedLearnerTime which learners a change of the membership drops
// without their having answered, so that another spare has its turn.
func (r *Replica) noteFailedLearners(now time.Time, before voters.ClusterState, next *schema.Membership) {
	for _, learner := range before.Membership.GetLearners() {
		id := figbank.ProcessID(learner.GetId())
		kept := slices.Contains(idsOf(next.GetVoters()), learner.GetId()) || slices.Contains(idsOf(next.GetLearners()), learner.GetId())
		if !kept && !before.Contacts[id].Answered {
			r.failedLearners[id] = now
		}
	}
	maps.DeleteFunc(r.failedLearners, func(_ figbank.ProcessID, at time.Time) bool { return now.Sub(at) >= failedLearnerTime })
}

func (r *Replica) clusterState(now time.Time) voters.ClusterState {
	members := r.node.Membership()
	s := voters.ClusterState{
		Membership: members, Replicas: r.knownReplicas(), VoterCount: voters.RequiredVoters(r.settings.LostDisks),
		Contacts: map[figbank.ProcessID]voters.Contact{}, Failed: map[figbank.ProcessID]bool{},
	}
	for id, at := range r.failedLearners {
		s.Failed[id] = now.Sub(at) < failedLearnerTime
	}
	for _, set := range [][]*schema.Voter{members.GetVoters(), members.GetLearners()} {
		for _, voter := range set {
			id := figbank.ProcessID(voter.GetId())
			if id != r.common.Process {
				match := r.node.MatchIndex(id)
				heard, since := r.node.Contact(id)
				s.Contacts[id] = voters.Contact{
					Silence: now.Sub(heard), Tried: now.Sub(since), Answered: match > 0,
					Lag: uint64(r.node.CommitIndex()) - min(match, uint64(r.node.CommitIndex())),
				}
			}
		}
	}
	return s
}

func idsOf(list []*schema.Voter) []string {
	ids := make([]string, len(list))
	for i, voter := range list {
		ids[i] = voter.GetId()
	}
	return ids
}
