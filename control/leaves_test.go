package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/fake"
	"figbank/feed"
	"figbank/registry"
	"figbank/schema"
	"figbank/timeline"
	"figbank/traffic"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const (
	ready   = schema.InstanceState_INSTANCE_STATE_READY
	leaving = schema.InstanceState_INSTANCE_STATE_LEAVING
	gone    = schema.InstanceState_INSTANCE_STATE_GONE
)

// waiting is a caller that still waits, or not.
type waiting bool

func (w waiting) Waits() bool { return bool(w) }

func newView() *feed.View {
	view, _ := newViewOf()
	return view
}

// newViewOf returns a view and the holder of its fleet state.
func newViewOf() (*feed.View, *configuration.FleetHolder) {
	common := testCommon()
	fleet := configuration.NewFleetHolder(common.Recorder)
	return feed.NewView(common, time.Minute, fleet), fleet
}

func testCommon() figbank.Common {
	return figbank.Common{Process: "r", Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope, Recorder: timeline.NewRecorder("r", clock.System{}, 16)}
}

func upstream(born int64, sequence uint64, state schema.InstanceState) *schema.Instance {
	return &schema.Instance{Id: "i", Service: "s", Address: "10.0.0.1:80", BornUnixMilli: born, Sequence: sequence, State: state}
}

// A replica acknowledges that an upstream leaves and is killed, with its disk, before its feeds have told
// anyone. Gateways that know the upstream as ready must hear of it from the others. So it must not
// acknowledge before the log holds the leave, and the log must report it to every replica.
func TestAcknowledgedLeaveOutlivesReplica(t *testing.T) {
	scenarios := []struct {
		name  string
		leave func(c *Control) error
		want  schema.InstanceState
	}{
		{name: "gone", leave: func(c *Control) error { return c.Leave(context.Background(), "i", waiting(true)) }, want: gone},
		{name: "leaving", leave: func(c *Control) error { return c.Announce(context.Background(), upstream(1, 2, leaving)) }, want: leaving},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			log := fake.NewProposer(clock.System{})
			view := newView()
			c := New(testCommon(), log, view)
			if err := c.Announce(context.Background(), upstream(1, 1, ready)); err != nil {
				t.Fatalf("Announce() = %v", err)
			}
			log.SetDown(true)
			if err := s.leave(c); !errors.As(err, new(figbank.NotAcceptedError)) {
				t.Errorf("without a majority the leave is answered with %v, want NotAcceptedError", err)
			}
			if got := view.Instance("i", "s").GetState(); got != s.want {
				t.Errorf("without a majority the replica's own view has %v, want %v", got, s.want)
			}
			log.SetDown(false)
			if err := s.leave(c); err != nil {
				t.Fatalf("the leave is answered with %v, want an acknowledgement", err)
			}
			other := newView()
			other.Announce(upstream(1, 1, ready))
			NewLeaves(other).Add(log.TakeLeaves())
			if got := other.Instance("i", "s").GetState(); got != s.want {
				t.Errorf("another replica reports %v, want %v", got, s.want)
			}
		})
	}
}

// An upstream that drains says so every second or so. Only the first report costs an entry in the log.
func TestRepeatedLeaveCostsNoEntry(t *testing.T) {
	log := fake.NewProposer(clock.System{})
	view := newView()
	leaves := NewLeaves(view)
	c := New(testCommon(), log, view, WithLeaves(leaves))
	if err := c.Announce(context.Background(), upstream(1, 1, leaving)); err != nil {
		t.Fatalf("Announce() = %v", err)
	}
	leaves.Add(log.TakeLeaves())
	log.SetDown(true)
	if err := c.Announce(context.Background(), upstream(1, 2, leaving)); err != nil {
		t.Errorf("a repeated report is answered with %v, want an acknowledgement without the log", err)
	}
	if err := c.Leave(context.Background(), "i", waiting(true)); err == nil {
		t.Error("the upstream is gone now, which is new, and was acknowledged without the log")
	}
	if err := c.Announce(context.Background(), upstream(2, 1, ready)); err != nil || !registry.Serving(view.Instance("i", "s").GetState()) {
		t.Errorf("the next incarnation is %v (%v), want it ready", view.Instance("i", "s"), err)
	}
}

// A replica that has just started without knowing an upstream cannot tell the gateways that it leaves.
func TestLeaveOfUnknownUpstreamIsNotAcknowledged(t *testing.T) {
	c := New(testCommon(), fake.NewProposer(clock.System{}), newView())
	if err := c.Leave(context.Background(), "i", waiting(true)); !errors.As(err, new(figbank.NotAcceptedError)) {
		t.Errorf("Leave() = %v, want NotAcceptedError", err)
	}
}

// The clock of an upstream's host went back between two starts. Until its reports have shown that the second incarnation
// runs, that one's leave has no effect, and must not be acknowledged.
func TestLeaveOfAnUnknownIncarnationIsNotAcknowledged(t *testing.T) {
	c := New(testCommon(), fake.NewProposer(clock.System{}), newView())
	if err := c.Announce(context.Background(), upstream(5000, 1, ready)); err != nil {
		t.Fatal(err)
	}
	if err := c.Announce(context.Background(), upstream(2600, 1, leaving)); !errors.As(err, new(figbank.NotAcceptedError)) {
		t.Errorf("Announce() = %v, want a NotAcceptedError", err)
	}
	if got := c.view.Instance("i", "s"); got.GetBornUnixMilli() != 5000 || got.GetState() != ready {
		t.Errorf("known afterwards = %v, want the first incarnation, ready", got)
	}
}

// Another writer has announced the id of an upstream for a service that no rules name, born later. The upstream's own leave ended that
// entry in its place and was acknowledged.
func TestLeaveIsThatOfTheNamedService(t *testing.T) {
	log := fake.NewProposer(clock.System{})
	view, fleet := newViewOf()
	packed, err := traffic.PackRules(&schema.Traffic{Number: 1, Services: []*schema.RoutedService{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	fleet.Offer(&schema.Fleet{CommitIndex: 1, TrafficNumber: 1, PackedTraffic: packed})
	c := New(testCommon(), log, view)
	other := upstream(9, 1, ready)
	other.Service = "other"
	for _, record := range []*schema.Instance{upstream(1, 1, ready), other} {
		if err := c.Announce(context.Background(), record); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Leave(context.Background(), "i", waiting(true)); err != nil {
		t.Fatalf("Leave() = %v, want an acknowledgement", err)
	}
	if got := view.Instance("i", "s").GetState(); got != gone {
		t.Errorf("state = %v, want %v", got, gone)
	}
	if got := log.TakeLeaves(); len(got) != 1 || got[0].GetService() != "s" {
		t.Errorf("leaves in the log = %v, want that of the upstream", got)
	}
}
