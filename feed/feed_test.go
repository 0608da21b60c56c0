package feed

import (
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transport"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank/registry"
)

const testTimeout = 10 * time.Second

// node is a process with a view, a feed server and a subscriber.
type node struct {
	view       *View
	fleet      *configuration.FleetHolder
	subscriber *Subscriber
	server     *transport.Server
	address    figbank.Address
	meter      *transport.Meter
}

func newNode(t *testing.T, id string, role schema.MemberRole, seeds ...figbank.Address) *node {
	t.Helper()
	common := figbank.Common{
		Process: figbank.ProcessID(id), Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(figbank.ProcessID(id), clock.System{}, 16),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{fleet: configuration.NewFleetHolder(common.Recorder), address: figbank.Address(listener.Addr().String()), meter: transport.NewMeter(common)}
	n.view = NewView(common, time.Minute, n.fleet)
	pool := transport.NewPool(common)
	n.server = transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_FEED: n.view.Serve}, transport.WithMeter(n.meter))
	n.subscriber = NewSubscriber(common, n.view, pool, &schema.Member{Id: id, Role: role, Address: string(n.address)}, seeds)
	t.Cleanup(func() {
		n.subscriber.Close()
		pool.Close()
		n.server.Close()
	})
	return n
}

func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not true within %v", description, testTimeout)
		}
	}
}

const (
	replica = schema.MemberRole_MEMBER_ROLE_REPLICA
	gateway = schema.MemberRole_MEMBER_ROLE_GATEWAY
	agent   = schema.MemberRole_MEMBER_ROLE_AGENT
)

func announce(sequence uint64) *schema.Instance {
	return &schema.Instance{Id: "i", Service: "s", Address: "u:1", BornUnixMilli: 1, Sequence: sequence, State: schema.InstanceState_INSTANCE_STATE_READY}
}

// A gateway connected to one replica gets the updates that another replica
// received.
func TestUpdatesPassThroughReplicas(t *testing.T) {
	first := newNode(t, "r1", replica)
	second := newNode(t, "r2", replica, first.address)
	g := newNode(t, "g1", gateway, second.address)
	first.view.Announce(announce(1))
	await(t, "the upstream is known to the gateway", func() bool { return len(g.view.Upstreams(registry.AnyService)) == 1 })
	first.fleet.Offer(&schema.Fleet{CommitIndex: 5})
	await(t, "the fleet is known to the gateway", func() bool { return g.view.Fleet().GetCommitIndex() == 5 })
}

func TestEngineStatesReachGateways(t *testing.T) {
	r := newNode(t, "r1", replica)
	g := newNode(t, "g1", gateway, r.address)
	a := newNode(t, "a1", agent, r.address)
	r.view.Announce(announce(1))
	a.subscriber.SetEngine(&schema.EngineState{Address: "u:1", BornUnixMilli: 1, Sequence: 1, Switching: true})
	await(t, "the gateway knows that the engine is switching", func() bool {
		upstreams := g.view.Upstreams(registry.AnyService)
		return len(upstreams) == 1 && upstreams[0].Switching
	})
}

// Repeated announcements and unchanged member lists must not notify watchers.
// Otherwise, two replicas that subscribe to each other would send updates forever.
func TestRepeatedAnnouncementsNotifyNobody(t *testing.T) {
	first := newNode(t, "r1", replica)
	second := newNode(t, "r2", replica, first.address)
	first.subscriber.SetSeeds([]figbank.Address{second.address})
	g := newNode(t, "g1", gateway, first.address, second.address)
	await(t, "all members are known", func() bool { return len(g.view.Members()) == 3 })
	first.view.Announce(announce(1))
	await(t, "the upstream is known", func() bool { return len(g.view.Upstreams(registry.AnyService)) == 1 })
	time.Sleep(300 * time.Millisecond)
	notified := make(chan struct{}, 10_000)
	g.view.Watch(func() { notified <- struct{}{} })
	for sequence := range uint64(50) {
		first.view.Announce(announce(sequence + 2))
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if got := len(notified); got > 2 {
		t.Errorf("50 repeated announcements notified the gateway's watcher %d times, want at most 2", got)
	}
}

func TestBothSidesNoticeALostConnection(t *testing.T) {
	r := newNode(t, "r1", replica)
	g := newNode(t, "g1", gateway, r.address)
	await(t, "the replica is connected", g.subscriber.Connected)
	r.server.Close()
	await(t, "the subscriber notices the lost connection", func() bool { return !g.subscriber.Connected() })
	await(t, "the replica removes the gateway from its members", func() bool { return len(r.view.Members()) == 0 })
}

// A gateway that starts must not count as ready with the rules and without the upstreams that came with them:
// callers were refused until the rest of the update was applied.
func TestRulesAreNotKnownBeforeTheirUpstreams(t *testing.T) {
	n := newNode(t, "g1", gateway)
	var seen [][2]int64
	n.view.Watch(func() {
		seen = append(seen, [2]int64{n.view.Fleet().GetTrafficNumber(), int64(len(n.view.Upstreams(registry.AnyService)))})
	})
	n.view.apply("r1:1", &schema.FeedUpdate{
		Fleet: &schema.Fleet{CommitIndex: 1, TrafficNumber: 7}, Instances: []*schema.Instance{announce(1)},
	})
	if len(seen) == 0 {
		t.Fatal("the update was not noticed")
	}
	for _, got := range seen {
		if got[0] == 7 && got[1] != 1 {
			t.Errorf("rules %d with %d upstreams, want them with 1", got[0], got[1])
		}
	}
}
