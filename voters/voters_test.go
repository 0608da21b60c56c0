package voters

import (
	"testing"
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

func voter(id string) *schema.Voter {
	return &schema.Voter{Id: id, Address: id + ":1"}
}

func members(learner string, ids ...string) *schema.Membership {
	m := &schema.Membership{}
	for _, id := range ids {
		m.Voters = append(m.Voters, voter(id))
	}
	if learner != "" {
		m.Learners = []*schema.Voter{voter(learner)}
	}
	return m
}

func replicas(ids ...string) []Replica {
	var list []Replica
	for _, id := range ids {
		list = append(list, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1")})
	}
	return list
}

func TestNextMembership(t *testing.T) {
	silent := map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: time.Minute, Answered: true}}
	silentAndLearner := func(learner Contact) map[figbank.ProcessID]Contact {
		return map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: time.Minute, Answered: true}, "d": learner}
	}
	emptyDisk := append(replicas("a", "b"), Replica{ID: "c2", Address: "c:1"})
	lastKnownAtAddress := append(replicas("a", "b", "c"), Replica{ID: "c0", Address: "c:1", LastKnown: true})
	lastKnownSpare := append(replicas("a", "b"), Replica{ID: "d", Address: "d:1", LastKnown: true})
	leaving := append(replicas("a", "b", "d"), Replica{ID: "c", Address: "c:1", Leaving: true})
	emptyDiskLearner := members("", "a", "b", "c")
	emptyDiskLearner.Learners = []*schema.Voter{{Id: "c2", Address: "c:1"}}
	scenarios := []struct {
		name string
		s    ClusterState
		want *schema.Membership
	}{
		{name: "no change while no voter is silent and there is no spare", s: ClusterState{Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b", "c")}},
		{name: "a spare becomes a learner before any voter is silent", s: ClusterState{Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b", "c", "d")}, want: members("d", "a", "b", "c")},
		{name: "one learner is enough", s: ClusterState{Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "c", "d", "e")}},
		{
			name: "a spare that just failed as a learner is left alone while none is needed",
			s: ClusterState{
				Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b", "c", "d"),
				Failed: map[figbank.ProcessID]bool{"d": true},
			},
		},
		{
			name: "a voter that is silent for a second is replaced by a learner that stands by",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "d"),
				Contacts: map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: maxSilenceWithStandby + 1, Answered: true}, "d": {Answered: true}},
			},
			want: members("", "a", "b", "d"),
		},
		{
			name: "a voter that is silent for a second stays while the learner has not caught up",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "d"),
				Contacts: map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: maxSilenceWithStandby + 1, Answered: true}, "d": {Answered: true, Lag: 100}},
			},
		},
		{
			name: "of two silent voters the one that is silent for longer is replaced",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "d"),
				Contacts: map[figbank.ProcessID]Contact{
					"b": {Tried: time.Minute, Silence: 2 * time.Second, Answered: true}, "c": {Tried: time.Minute, Silence: time.Minute, Answered: true}, "d": {Answered: true},
				},
			},
			want: members("", "a", "b", "d"),
		},
		{
			name: "a learner that was never heard makes room for another spare",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "c", "d", "e"),
				Contacts: map[figbank.ProcessID]Contact{"d": {Tried: 1100 * time.Millisecond, Silence: 1100 * time.Millisecond}},
			},
			want: members("e", "a", "b", "c"),
		},
		{
			name: "a learner that was never heard stays while there is no other spare",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "c", "d"),
				Contacts: map[figbank.ProcessID]Contact{"d": {Tried: 1100 * time.Millisecond, Silence: 1100 * time.Millisecond}},
			},
		},
		{
			name: "a learner that leaves is removed",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: append(replicas("a", "b", "c"), Replica{ID: "d", Address: "d:1", Leaving: true}),
			},
			want: members("", "a", "b", "c"),
		},
		{name: "a silent voter without a spare stays", s: ClusterState{Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b"), Contacts: silent}},
		{name: "a silent voter: the spare becomes a learner first", s: ClusterState{Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b", "d"), Contacts: silent}, want: members("d", "a", "b", "c")},
		{name: "a learner that lags does not become a voter", s: ClusterState{Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "d"), Contacts: silentAndLearner(Contact{Answered: true, Lag: 100})}},
		{name: "a learner that has never answered does not become a voter", s: ClusterState{Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "d"), Contacts: silentAndLearner(Contact{Lag: 3})}},
		{name: "a learner that has caught up replaces the silent voter", s: ClusterState{Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "d"), Contacts: silentAndLearner(Contact{Answered: true})}, want: members("", "a", "b", "d")},
		{name: "a learner stays when the silent voter is back", s: ClusterState{Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "c", "d")}},
		{
			name: "a host that is back with an empty disk becomes a learner before its voter counts as silent",
			s: ClusterState{
				Membership: members("", "a", "b", "c"), Replicas: emptyDisk,
				Contacts: map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: maxLiveSilence + 1, Answered: true}},
			},
			want: emptyDiskLearner,
		},
		{
			name: "a voter that answers has its disk, whatever is reported at its address",
			s: ClusterState{
				Membership: members("", "a", "b", "c"), Replicas: emptyDisk,
				Contacts: map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: maxLiveSilence, Answered: true}},
			},
		},
		{
			name: "a new leader tries a voter itself before it replaces it",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b", "d"),
				Contacts: map[figbank.ProcessID]Contact{"c": {Tried: maxLiveSilence, Silence: time.Minute, Answered: true}, "d": {Answered: true}},
			},
		},
		{
			name: "what a lost replica reported does not prove a lost disk",
			s: ClusterState{
				Membership: members("", "a", "b", "c"), Replicas: lastKnownAtAddress,
				Contacts: map[figbank.ProcessID]Contact{"c": {Tried: time.Minute, Silence: maxSilence, Answered: true}},
			},
		},
		{
			name: "what a lost replica reported does not prove a spare",
			s:    ClusterState{Membership: members("", "a", "b", "c"), Replicas: lastKnownSpare, Contacts: silent},
		},
		{
			name: "a spare that just failed as a learner comes after the others",
			s: ClusterState{
				Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b", "d", "e"), Contacts: silent,
				Failed: map[figbank.ProcessID]bool{"d": true},
			},
			want: members("e", "a", "b", "c"),
		},
		{
			name: "a spare that just failed as a learner is tried again if it is the only one",
			s: ClusterState{
				Membership: members("", "a", "b", "c"), Replicas: replicas("a", "b", "d"), Contacts: silent,
				Failed: map[figbank.ProcessID]bool{"d": true},
			},
			want: members("d", "a", "b", "c"),
		},
		{name: "planned replacement: the spare becomes a learner while the old voter still votes", s: ClusterState{Membership: members("", "a", "b", "c"), Replicas: leaving}, want: members("d", "a", "b", "c")},
		{
			name: "a learner that is silent too is removed",
			s: ClusterState{
				Membership: members("d", "a", "b", "c"), Replicas: replicas("a", "b"),
				Contacts: silentAndLearner(Contact{Tried: time.Minute, Silence: time.Minute}),
			},
			want: members("", "a", "b", "c"),
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			s.s.VoterCount = 3
			if got := NextMembership(s.s); !proto.Equal(got, s.want) {
				t.Errorf("NextMembership() = %v, want %v", got, s.want)
			}
		})
	}
}

// To survive the loss of two disks at once, three seeds grow to five voters, one by
// one, and one more replica stands by. The new voters are in the failure domains with the fewest voters.
func TestVotersGrowFromTheSeeds(t *testing.T) {
	s := ClusterState{Membership: members("", "a1", "b1", "c1"), VoterCount: RequiredVoters(2)}
	for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"} {
		s.Replicas = append(s.Replicas, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1])})
	}
	for range 10 {
		if next := NextMembership(s); next != nil {
			s.Membership = next
		}
		s.Contacts = map[figbank.ProcessID]Contact{}
		for _, learner := range s.Membership.GetLearners() {
			s.Contacts[figbank.ProcessID(learner.GetId())] = Contact{Answered: true}
		}
	}
	if got, want := s.Membership, members("b2", "a1", "b1", "c1", "d1", "a2"); !proto.Equal(got, want) {
		t.Errorf("membership = %v, want %v", got, want)
	}
}

// A lost voter is replaced in the failure domain with the fewest voters. If its
// replacement were in a failure domain that already has a voter, the loss of that
// domain would mean the loss of two voters.
func TestReplacementKeepsVotersApart(t *testing.T) {
	s := ClusterState{
		Membership: members("", "a1", "b1", "c1"), VoterCount: RequiredVoters(1),
		Contacts: map[figbank.ProcessID]Contact{"c1": {Tried: time.Minute, Silence: time.Minute, Answered: true}},
	}
	for _, id := range []string{"a1", "a2", "b1", "c2"} {
		s.Replicas = append(s.Replicas, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1])})
	}
	if got, want := NextMembership(s), members("c2", "a1", "b1", "c1"); !proto.Equal(got, want) {
		t.Errorf("NextMembership() = %v, want %v", got, want)
	}
}

// The leader knows a voter that answers only from the list of a lost replica, as happens while the
// voter's feeds are reset. It still stands in its failure domain, and the spare must not join it there.
func TestLastKnownVoterKeepsItsFailureDomain(t *testing.T) {
	s := ClusterState{
		Membership: members("", "a1", "b1", "c1"), VoterCount: RequiredVoters(1),
		Contacts: map[figbank.ProcessID]Contact{"c1": {Tried: time.Minute, Silence: time.Minute, Answered: true}, "b1": {Answered: true}},
	}
	for _, id := range []string{"a1", "b1", "b2", "c2"} {
		s.Replicas = append(s.Replicas, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1]), LastKnown: id == "b1"})
	}
	if got, want := NextMembership(s), members("c2", "a1", "b1", "c1"); !proto.Equal(got, want) {
		t.Errorf("NextMembership() = %v, want %v", got, want)
	}
}

// The learner that stands by is in a failure domain that has a voter, and the successor of the lost voter is
// not. The successor takes the learner's place, so that no failure domain has two voters.
func TestLearnerThatStandsByMakesRoomForOneFurtherApart(t *testing.T) {
	s := ClusterState{
		Membership: members("a2", "a1", "b1", "c1"), VoterCount: RequiredVoters(1),
		Contacts: map[figbank.ProcessID]Contact{"c1": {Tried: time.Minute, Silence: time.Minute, Answered: true}, "a2": {Answered: true}},
	}
	for _, id := range []string{"a1", "a2", "b1", "c2"} {
		s.Replicas = append(s.Replicas, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1])})
	}
	if got, want := NextMembership(s), members("c2", "a1", "b1", "c1"); !proto.Equal(got, want) {
		t.Errorf("NextMembership() = %v, want %v", got, want)
	}
	s.Failed = map[figbank.ProcessID]bool{"c2": true}
	if got, want := NextMembership(s), members("", "a1", "b1", "a2"); !proto.Equal(got, want) {
		t.Errorf("after the successor failed, NextMembership() = %v, want %v", got, want)
	}
}

// A voter pauses for a second while the learner that stands by is in a failure domain that has a voter. Two
// voters there would be lost with that failure domain, so the voter has its full time to come back.
func TestStandbyInAnotherVotersDomainWaits(t *testing.T) {
	s := ClusterState{
		Membership: members("a2", "a1", "b1", "c1"), VoterCount: RequiredVoters(1),
		Contacts: map[figbank.ProcessID]Contact{"c1": {Tried: time.Minute, Silence: maxSilence, Answered: true}, "a2": {Answered: true}},
	}
	for _, id := range []string{"a1", "a2", "b1", "c1"} {
		s.Replicas = append(s.Replicas, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1]), LastKnown: id == "c1"})
	}
	if got := NextMembership(s); got != nil {
		t.Errorf("NextMembership() = %v, want no change", got)
	}
}
