package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"figbank/schema"
	"figbank/traffic"
)

func (m *machine) leave(id string, born int64, state schema.InstanceState) schema.Refusal {
	return m.leaveService("s", id, born, state)
}

func (m *machine) leaveService(service, id string, born int64, state schema.InstanceState) schema.Refusal {
	return m.apply(&schema.Command{Action: &schema.Command_Leave{Leave: &schema.Leave{Upstream: &schema.Instance{
		Id: id, Service: service, Address: "10.0.0.1:80", BornUnixMilli: born, Sequence: 1, State: state,
	}}}}).GetRefusal()
}

// Leaves arrive late, twice and out of order. The state keeps the newest of each upstream, also in a
// snapshot.
func TestLeavesOfUpstreams(t *testing.T) {
	const (
		leaving = schema.InstanceState_INSTANCE_STATE_LEAVING
		gone    = schema.InstanceState_INSTANCE_STATE_GONE
	)
	steps := []struct {
		name      string
		id        string
		born      int64
		state     schema.InstanceState
		want      schema.Refusal
		wantTaken int
	}{
		{name: "drains", id: "i", born: 5, state: leaving, wantTaken: 1},
		{name: "drains, again", id: "i", born: 5, state: leaving},
		{name: "is gone", id: "i", born: 5, state: gone, wantTaken: 1},
		{name: "drains, late", id: "i", born: 5, state: leaving},
		{name: "an earlier incarnation is gone, late", id: "i", born: 4, state: gone},
		{name: "the next incarnation drains", id: "i", born: 6, state: leaving, wantTaken: 1},
		{name: "an upstream that does not leave", id: "j", born: 6, state: schema.InstanceState_INSTANCE_STATE_READY, want: schema.Refusal_REFUSAL_INVALID},
		{name: "an upstream without an id", born: 6, state: gone, want: schema.Refusal_REFUSAL_INVALID},
	}
	m := newMachine(t)
	for _, s := range steps {
		if got := m.leave(s.id, s.born, s.state); got != s.want {
			t.Errorf("%s: refusal %v, want %v", s.name, got, s.want)
		}
		if got := len(m.state.TakeLeaves()); got != s.wantTaken {
			t.Errorf("%s: %d leaves are new, want %d", s.name, got, s.wantTaken)
		}
	}
	snapshot, err := m.state.Snapshot(1)
	if err != nil {
		t.Fatalf("Snapshot() = %v", err)
	}
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatalf("Restore() = %v", err)
	}
	if got := restored.TakeLeaves(); len(got) != 1 || got[0].GetBornUnixMilli() != 6 {
		t.Errorf("leaves after a restart = %v, want that of the last incarnation", got)
	}
}

func TestOldLeavesAreForgotten(t *testing.T) {
	m := newMachine(t)
	for i := range maxLeaves + 10 {
		m.leave(fmt.Sprint("i", i), 5, schema.InstanceState_INSTANCE_STATE_GONE)
	}
	if got := len(m.state.leaves); got != maxLeaves {
		t.Errorf("%d leaves are stored, want %d", got, maxLeaves)
	}
	m.now = m.now.Add(leaveRetention + time.Second)
	m.leave("last", 5, schema.InstanceState_INSTANCE_STATE_GONE)
	if got := len(m.state.leaves); got != 1 {
		t.Errorf("%d leaves are stored after %v, want 1", got, leaveRetention)
	}
}

// Another writer says, under a new id each time or under that of an upstream, that something of a service leaves that no rules name.
// The leaves of upstreams were forgotten for it, or not stored at all, though they were acknowledged.
func TestLeavesOfUnnamedServicesPushOutNone(t *testing.T) {
	const gone = schema.InstanceState_INSTANCE_STATE_GONE
	packed, err := traffic.PackRules(&schema.Traffic{Number: 1, Services: []*schema.RoutedService{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	m := newMachine(t)
	m.apply(&schema.Command{Action: &schema.Command_PublishTraffic{PublishTraffic: &schema.PublishTraffic{Number: 1, PackedTraffic: packed}}})
	m.leaveService("other", "i", 9, gone)
	m.leave("i", 5, gone)
	m.leave("j", 5, gone)
	for k := range maxLeaves + 10 {
		m.leaveService("other", fmt.Sprint("x", k), 9, gone)
	}
	var got []string
	for _, leave := range m.state.leaves {
		if leave.GetUpstream().GetService() == "s" {
			got = append(got, leave.GetUpstream().GetId())
		}
	}
	if want := []string{"i", "j"}; !slices.Equal(got, want) || len(m.state.leaves) != maxLeaves {
		t.Errorf("leaves stored = %d, of upstreams %v, want %d and %v", len(m.state.leaves), got, maxLeaves, want)
	}
}
