package loadshare

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/dispatch"
	"figbank/feed"
	"figbank/schema"
	"figbank/timeline"
	"figbank/traffic"
	"figbank/transport"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const patience = 10 * time.Second

type (
	// held keeps every request until it is released.
	held struct {
		release chan struct{}
	}

	gateway struct {
		dispatcher *dispatch.Dispatcher
		view       *feed.View
		member     *schema.Member
	}
)

// Send holds the request.
func (h held) Send(ctx context.Context, _ *dispatch.Request, _ dispatch.Hop) (*dispatch.Answer, error) {
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return nil, figbank.NotRunError{Reason: figbank.ReasonUpstreamBusy}
}

// newGateway starts a gateway's share; all of them learn of each other from one
// replica's feed.
func newGateway(t *testing.T, id, domain string, replica figbank.Address, transportTo held) *gateway {
	t.Helper()
	common := figbank.Common{
		Process: figbank.ProcessID(id), Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(figbank.ProcessID(id), clock.System{}, 16),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{
		view:   feed.NewView(common, time.Minute, configuration.NewFleetHolder(common.Recorder)),
		member: &schema.Member{Id: id, Role: schema.MemberRole_MEMBER_ROLE_GATEWAY, Address: listener.Addr().String(), FailureDomain: domain},
	}
	pool := transport.NewPool(common)
	g.dispatcher = dispatch.New(common, dispatch.Settings{Place: dispatch.Place{FailureDomain: figbank.FailureDomain(domain)}}, transportTo, g.view)
	share := New(common, g.dispatcher, g.view, pool, g.member)
	server := transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_LOAD: share.Serve})
	subscriber := feed.NewSubscriber(common, g.view, pool, g.member, []figbank.Address{replica})
	ctx, cancel := context.WithCancel(context.Background())
	go share.Run(ctx)
	t.Cleanup(func() {
		cancel()
		subscriber.Close()
		g.dispatcher.Close()
		pool.Close()
		server.Close()
	})
	return g
}

// newReplica feeds one upstream and the rules that lead to it.
func newReplica(t *testing.T) figbank.Address {
	t.Helper()
	common := figbank.Common{
		Process: "r", Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope, Recorder: timeline.NewRecorder("r", clock.System{}, 16),
	}
	rules, err := traffic.PackRules(&schema.Traffic{Number: 1, Services: []*schema.RoutedService{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	fleet := configuration.NewFleetHolder(common.Recorder)
	view := feed.NewView(common, time.Minute, fleet)
	fleet.Offer(&schema.Fleet{CommitIndex: 1, TrafficNumber: 1, PackedTraffic: rules})
	view.Announce(&schema.Instance{
		Id: "u", Service: "s", Address: "10.0.0.1:1", FailureDomain: "a", BornUnixMilli: 1, Sequence: 1, Slots: 8,
		State: schema.InstanceState_INSTANCE_STATE_READY,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_FEED: view.Serve})
	t.Cleanup(server.Close)
	return figbank.Address(listener.Addr().String())
}

// outstanding is what a gateway believes the upstream to hold.
func (g *gateway) outstanding() int {
	table := g.dispatcher.Table()
	if table == nil || table.Load("u", 1) == nil {
		return -1
	}
	return table.Load("u", 1).Outstanding(time.Now())
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

type noReply struct{}

func (noReply) Head(int, http.Header, int64) {}
func (noReply) Write([]byte) error           { return nil }
func (noReply) Started() bool                { return false }

// A gateway's requests show at the others, of its own failure domain and
// elsewhere, and are gone there once they have ended here.
func TestLoadsReachTheOtherGateways(t *testing.T) {
	replica := newReplica(t)
	transportTo := held{release: make(chan struct{})}
	first := newGateway(t, "g1", "a", replica, transportTo)
	near := newGateway(t, "g2", "a", replica, transportTo)
	far := newGateway(t, "g3", "b", replica, transportTo)
	for _, g := range []*gateway{first, near, far} {
		await(t, "the upstream is known", func() bool { return g.outstanding() == 0 && len(g.view.Members()) == 3 })
	}
	const requests = 3
	ended := make(chan error, requests)
	for range requests {
		go func() {
			ended <- first.dispatcher.Serve(context.Background(), &dispatch.Request{
				Route:   traffic.NewTable(&schema.Traffic{Routes: []*schema.Route{{Host: "h", PathPrefix: "/", MaxUpstreams: 1, TargetMilliseconds: 1000}}}).Route("h", "/"),
				Service: "s", ReceivedAt: time.Now(), Deadline: time.Now().Add(time.Minute),
			}, noReply{})
		}()
	}
	await(t, "its neighbour counts them", func() bool { return near.outstanding() == requests })
	await(t, "a gateway elsewhere counts them", func() bool { return far.outstanding() == requests })
	if got := first.outstanding(); got != requests {
		t.Errorf("its own count = %d, want %d", got, requests)
	}
	close(transportTo.release)
	for range requests {
		if err := <-ended; err == nil {
			t.Error("Serve() = nil, want the refusal")
		}
	}
	await(t, "they are gone at its neighbour", func() bool { return near.outstanding() == 0 })
	await(t, "they are gone elsewhere", func() bool { return far.outstanding() == 0 })
}
