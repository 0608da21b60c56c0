package feed

import (
	"slices"
	"testing"

	"figbank/schema"
)

func gatewayNamed(id, address string) *schema.Member {
	return &schema.Member{Id: id, Role: gateway, Address: address}
}

// What replicas list, in differences, adds up to who is there.
func TestRosterAddsDifferencesUp(t *testing.T) {
	steps := []struct {
		name    string
		act     func(r *roster) bool
		want    []string
		changed bool
	}{
		{
			name: "a first list", changed: true, want: []string{"a=1", "b=1"},
			act: func(r *roster) bool {
				return r.hear("r1", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{gatewayNamed("a", "1"), gatewayNamed("b", "1")}})
			},
		},
		{
			name: "nothing new", want: []string{"a=1", "b=1"},
			act: func(r *roster) bool { return r.hear("r1", &schema.FeedUpdate{}) },
		},
		{
			name: "one joins, one leaves", changed: true, want: []string{"b=1", "c=1"},
			act: func(r *roster) bool {
				return r.hear("r1", &schema.FeedUpdate{Members: []*schema.Member{gatewayNamed("c", "1")}, GoneMembers: []string{"a"}})
			},
		},
		{
			name: "a lost replica's list stays", changed: true, want: []string{"b=1", "c=1"},
			act: func(r *roster) bool { r.lose("r1", false); return true },
		},
		{
			name: "what another lists now goes before it", changed: true, want: []string{"b=2", "c=1"},
			act: func(r *roster) bool {
				return r.hear("r2", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{gatewayNamed("b", "2")}})
			},
		},
		{
			name: "the lost one is back with a list anew", changed: true, want: []string{"b=2"},
			act: func(r *roster) bool { return r.hear("r1", &schema.FeedUpdate{AllMembers: true}) },
		},
		{
			name: "a list that others make up for is dropped", changed: true, want: nil,
			act: func(r *roster) bool { r.lose("r2", true); return true },
		},
	}
	r := newRoster()
	for _, s := range steps {
		if changed := s.act(r); changed != s.changed {
			t.Errorf("%s: changed = %v, want %v", s.name, changed, s.changed)
		}
		var got []string
		for id, member := range r.members() {
			got = append(got, id+"="+member.GetAddress())
		}
		slices.Sort(got)
		if !slices.Equal(got, s.want) {
			t.Errorf("%s: members = %v, want %v", s.name, got, s.want)
		}
	}
}

// Agents hear of agents and replicas, not of gateways.
func TestSubscribersHearOfTheirOwnRole(t *testing.T) {
	r := newRoster()
	r.join(&schema.Member{Id: "a1", Role: agent}, nil)
	r.join(&schema.Member{Id: "g1", Role: gateway}, nil)
	r.hear("r2", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{{Id: "a2", Role: agent}, {Id: "r1", Role: replica}}})
	scenarios := []struct {
		role schema.MemberRole
		want []string
	}{
		{role: agent, want: []string{"a1", "a2", "r1"}},
		{role: gateway, want: []string{"g1", "r1"}},
		{role: replica, want: []string{"a1", "g1"}},
	}
	for _, s := range scenarios {
		var got []string
		for id := range r.forSubscriber(s.role) {
			got = append(got, id)
		}
		slices.Sort(got)
		if !slices.Equal(got, s.want) {
			t.Errorf("%v hears of %v, want %v", s.role, got, s.want)
		}
	}
}
