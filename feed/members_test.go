package feed

import (
	"slices"
	"testing"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

func gatewayNamed(id, address string) *schema.Member {
	return &schema.Member{Id: id, Role: gateway, Address: address}
}

// Full lists and differences from several replicas are merged into one list of members.
func TestMemberTableMergesLists(t *testing.T) {
	steps := []struct {
		name    string
		act     func(r *memberTable) bool
		want    []string
		changed bool
	}{
		{
			name: "a first list", changed: true, want: []string{"a=1", "b=1"},
			act: func(r *memberTable) bool {
				return r.applyUpdate("r1", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{gatewayNamed("a", "1"), gatewayNamed("b", "1")}})
			},
		},
		{
			name: "nothing new", want: []string{"a=1", "b=1"},
			act: func(r *memberTable) bool { return r.applyUpdate("r1", &schema.FeedUpdate{}) },
		},
		{
			name: "one joins, one leaves", changed: true, want: []string{"b=1", "c=1"},
			act: func(r *memberTable) bool {
				return r.applyUpdate("r1", &schema.FeedUpdate{Members: []*schema.Member{gatewayNamed("c", "1")}, GoneMembers: []string{"a"}})
			},
		},
		{
			name: "the list of a disconnected replica stays", changed: true, want: []string{"b=1", "c=1"},
			act: func(r *memberTable) bool { r.disconnect("r1", false); return true },
		},
		{
			name: "a current list takes precedence over a stale one", changed: true, want: []string{"b=2", "c=1"},
			act: func(r *memberTable) bool {
				return r.applyUpdate("r2", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{gatewayNamed("b", "2")}})
			},
		},
		{
			name: "the disconnected replica returns with a new list", changed: true, want: []string{"b=2"},
			act: func(r *memberTable) bool { return r.applyUpdate("r1", &schema.FeedUpdate{AllMembers: true}) },
		},
		{
			name: "a list is removed when other replicas report its members", changed: true, want: nil,
			act: func(r *memberTable) bool { r.disconnect("r2", true); return true },
		},
	}
	r := newMemberTable()
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

// A process that restarts in another failure domain, or for another service, keeps its id. All who
// know it must hear of the change.
func TestChangedMemberIsANewOne(t *testing.T) {
	before := &schema.Member{Id: "a", Role: schema.MemberRole_MEMBER_ROLE_AGENT, Address: "1", FailureDomain: "z", Region: "r", Service: "s", Upstream: "u"}
	changes := []struct {
		name   string
		change func(*schema.Member)
	}{
		{name: "failure domain", change: func(m *schema.Member) { m.FailureDomain = "y" }},
		{name: "region", change: func(m *schema.Member) { m.Region = "q" }},
		{name: "service", change: func(m *schema.Member) { m.Service = "t" }},
		{name: "upstream", change: func(m *schema.Member) { m.Upstream = "v" }},
	}
	for _, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			after := proto.CloneOf(before)
			c.change(after)
			update := &schema.FeedUpdate{}
			fillDifference(update, map[string]*schema.Member{"a": before}, map[string]*schema.Member{"a": after})
			if got := update.GetMembers(); len(got) != 1 {
				t.Errorf("members to report = %v, want the changed one", got)
			}
		})
	}
}

// Agents learn of agents and replicas, not of gateways.
func TestSubscribersGetMembersOfTheirOwnRole(t *testing.T) {
	r := newMemberTable()
	r.addSubscriber(&schema.Member{Id: "a1", Role: agent}, nil)
	r.addSubscriber(&schema.Member{Id: "g1", Role: gateway}, nil)
	r.applyUpdate("r2", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{{Id: "a2", Role: agent}, {Id: "r1", Role: replica}}})
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
			t.Errorf("%v gets members %v, want %v", s.role, got, s.want)
		}
	}
}
