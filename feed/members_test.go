package feed

import (
	"slices"
	"testing"
	"time"

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
		act     func(r *memberTable) memberChange
		want    []string
		changed bool
	}{
		{
			name: "a first list", changed: true, want: []string{"a=1", "b=1"},
			act: func(r *memberTable) memberChange {
				return r.applyUpdate("r1", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{gatewayNamed("a", "1"), gatewayNamed("b", "1")}})
			},
		},
		{
			name: "nothing new", want: []string{"a=1", "b=1"},
			act: func(r *memberTable) memberChange { return r.applyUpdate("r1", &schema.FeedUpdate{}) },
		},
		{
			name: "one joins, one leaves", changed: true, want: []string{"b=1", "c=1"},
			act: func(r *memberTable) memberChange {
				return r.applyUpdate("r1", &schema.FeedUpdate{Members: []*schema.Member{gatewayNamed("c", "1")}, GoneMembers: []string{"a"}})
			},
		},
		{
			name: "the list of a disconnected replica stays", want: []string{"b=1", "c=1"},
			act: func(r *memberTable) memberChange { return r.disconnect(time.Unix(100, 0), "r1", false) },
		},
		{
			name: "a current list takes precedence over a stale one", changed: true, want: []string{"b=2", "c=1"},
			act: func(r *memberTable) memberChange {
				return r.applyUpdate("r2", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{gatewayNamed("b", "2")}})
			},
		},
		{
			name: "the disconnected replica returns with a new list", changed: true, want: []string{"b=2"},
			act: func(r *memberTable) memberChange { return r.applyUpdate("r1", &schema.FeedUpdate{AllMembers: true}) },
		},
		{
			name: "a list is removed when other replicas report its members", changed: true, want: nil,
			act: func(r *memberTable) memberChange { return r.disconnect(time.Unix(100, 0), "r2", true) },
		},
	}
	r := newMemberTable()
	for _, s := range steps {
		if changed := s.act(r).known; changed != s.changed {
			t.Errorf("%s: changed = %v, want %v", s.name, changed, s.changed)
		}
		var got []string
		for id, member := range r.known.members {
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
			r := newVersionedMembers()
			r.set("a", before)
			sent := r.revision
			r.set("a", after)
			update := &schema.FeedUpdate{}
			r.fill(update, sent, false)
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
		for id := range r.membersFor(s.role).members {
			got = append(got, id)
		}
		slices.Sort(got)
		if !slices.Equal(got, s.want) {
			t.Errorf("%v gets members %v, want %v", s.role, got, s.want)
		}
	}
}

// A process that moves from one replica to another stays a member, so nobody but the replicas hears of
// it. One that goes is reported once.
func TestMovesOfSubscribersConcernReplicasOnly(t *testing.T) {
	g1, a1 := &schema.Member{Id: "g1", Role: gateway}, &schema.Member{Id: "a1", Role: agent}
	steps := []struct {
		name string
		act  func(r *memberTable) memberChange
		want memberChange
	}{
		{name: "an agent subscribes", act: func(r *memberTable) memberChange { return r.addSubscriber(a1, nil) }, want: memberChange{known: true, roles: []schema.MemberRole{replica, agent}}},
		{
			name: "a gateway is known to another replica", want: memberChange{known: true, roles: []schema.MemberRole{gateway}},
			act: func(r *memberTable) memberChange {
				return r.applyUpdate("r2", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{g1}})
			},
		},
		{name: "it subscribes here too", act: func(r *memberTable) memberChange { return r.addSubscriber(g1, nil) }, want: memberChange{roles: []schema.MemberRole{replica}}},
		{
			name: "it leaves the other replica",
			act: func(r *memberTable) memberChange {
				return r.applyUpdate("r2", &schema.FeedUpdate{GoneMembers: []string{"g1"}})
			},
		},
		{name: "the other replica is lost", act: func(r *memberTable) memberChange { return r.disconnect(time.Unix(100, 0), "r2", false) }},
		{name: "it leaves here", act: func(r *memberTable) memberChange { return r.removeSubscriber("g1", nil) }, want: memberChange{known: true, roles: []schema.MemberRole{replica, gateway}}},
	}
	r := newMemberTable()
	for _, s := range steps {
		got := s.act(r)
		if got.known != s.want.known || !slices.Equal(got.roles, s.want.roles) {
			t.Errorf("%s: change = %+v, want %+v", s.name, got, s.want)
		}
	}
}

// A replica is gone for good, and after it a host that it had listed. The host must not stay in the
// list of those that are known to run, or its address serves for ever as a proof that the next
// replica there has lost its disk. The same holds for the count of gateways.
func TestListOfLostReplicaProvesNothing(t *testing.T) {
	start := time.Unix(100, 0)
	before := &schema.Member{Id: "b", Role: replica, Address: "2", ReplicaId: "b#1"}
	after := &schema.Member{Id: "b", Role: replica, Address: "2", ReplicaId: "b#2"}
	r := newMemberTable()
	r.applyUpdate("1", &schema.FeedUpdate{AllMembers: true, Members: []*schema.Member{before, gatewayNamed("g", "9")}})
	r.applyUpdate("3", &schema.FeedUpdate{AllMembers: true})
	r.disconnect(start, "1", false)
	r.addSubscriber(after, nil)
	if got := r.find("b").GetReplicaId(); got != "b#2" || !r.isCurrent("b") {
		t.Errorf("b is known as %q, current: %t, want b#2, current", got, r.isCurrent("b"))
	}
	r.removeSubscriber("b", nil)
	for _, id := range []string{"b", "g"} {
		if r.isCurrent(id) {
			t.Errorf("%s is current after the loss of all who reported it", id)
		}
	}
	r.dropStale(start.Add(staleListTime - time.Millisecond))
	if r.find("g") == nil {
		t.Errorf("g was dropped before %v", staleListTime)
	}
	change := r.dropStale(start.Add(staleListTime))
	if !change.known || r.find("g") != nil {
		t.Errorf("g is still known after %v", staleListTime)
	}
	if r.find("b") == nil {
		t.Error("the address of replica b is forgotten, it may be the only way back after a partition")
	}
}
