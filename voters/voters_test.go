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

func known(ids ...string) []Replica {
	var replicas []Replica
	for _, id := range ids {
		replicas = append(replicas, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1")})
	}
	return replicas
}

func TestDecide(t *testing.T) {
	dead := map[figbank.ProcessID]time.Duration{"c": time.Minute}
	reborn := append(known("a", "b"), Replica{ID: "c2", Address: "c:1"})
	leaving := append(known("a", "b", "d"), Replica{ID: "c", Address: "c:1", Leaving: true})
	rebornMembers := members("", "a", "b", "c")
	rebornMembers.Learners = []*schema.Voter{{Id: "c2", Address: "c:1"}}
	scenarios := []struct {
		name string
		s    Situation
		want *schema.Membership
	}{
		{name: "all well", s: Situation{Members: members("", "a", "b", "c"), Known: known("a", "b", "c", "d")}},
		{name: "dead, no spare", s: Situation{Members: members("", "a", "b", "c"), Known: known("a", "b"), Heard: dead}},
		{name: "dead, a spare learns first", s: Situation{Members: members("", "a", "b", "c"), Known: known("a", "b", "d"), Heard: dead}, want: members("d", "a", "b", "c")},
		{name: "the learner is behind", s: Situation{Members: members("d", "a", "b", "c"), Known: known("a", "b", "d"), Heard: dead, Lag: map[figbank.ProcessID]uint64{"d": 100}}},
		{name: "the learner takes over", s: Situation{Members: members("d", "a", "b", "c"), Known: known("a", "b", "d"), Heard: dead}, want: members("", "a", "b", "d")},
		{name: "the dead one is back, the learner goes", s: Situation{Members: members("d", "a", "b", "c"), Known: known("a", "b", "c", "d")}, want: members("", "a", "b", "c")},
		{
			name: "a host with an empty disk replaces its old self at once", s: Situation{Members: members("", "a", "b", "c"), Known: reborn},
			want: rebornMembers,
		},
		{name: "planned: the spare learns while the old one is there", s: Situation{Members: members("", "a", "b", "c"), Known: leaving}, want: members("d", "a", "b", "c")},
		{
			name: "the learner died too",
			s: Situation{
				Members: members("d", "a", "b", "c"), Known: known("a", "b"),
				Heard: map[figbank.ProcessID]time.Duration{"c": time.Minute, "d": time.Minute},
			},
			want: members("", "a", "b", "c"),
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			s.s.Wanted = 3
			if got := Decide(s.s); !proto.Equal(got, s.want) {
				t.Errorf("Decide() = %v, want %v", got, s.want)
			}
		})
	}
}

// Two disks may be lost at once: three seeds become five voters, one by one, as
// spread over failure domains as there are replicas.
func TestVotersGrowFromTheSeeds(t *testing.T) {
	s := Situation{Members: members("", "a1", "b1", "c1"), Wanted: Wanted(2)}
	for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"} {
		s.Known = append(s.Known, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1])})
	}
	for range 10 {
		if next := Decide(s); next != nil {
			s.Members = next
		}
	}
	if got, want := s.Members, members("", "a1", "b1", "c1", "d1", "a2"); !proto.Equal(got, want) {
		t.Errorf("voters are %v, want %v", got, want)
	}
}

// A voter that goes for good is replaced where the fewest vote, not where one
// more loss would take two.
func TestReplacementKeepsVotersApart(t *testing.T) {
	s := Situation{
		Members: members("", "a1", "b1", "c1"), Wanted: Wanted(1),
		Heard: map[figbank.ProcessID]time.Duration{"c1": time.Minute},
	}
	for _, id := range []string{"a1", "a2", "b1", "c2"} {
		s.Known = append(s.Known, Replica{ID: figbank.ProcessID(id), Address: figbank.Address(id + ":1"), Domain: figbank.FailureDomain(id[:1])})
	}
	if got, want := Decide(s), members("c2", "a1", "b1", "c1"); !proto.Equal(got, want) {
		t.Errorf("Decide() = %v, want %v", got, want)
	}
}
