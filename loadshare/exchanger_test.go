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

// waitTimeout bounds the wait for a condition.
const waitTimeout = 10 * time.Second

type (
	// blockingTransport blocks every request until release is closed, then refuses it.
	blockingTransport struct {
		release chan struct{}
	}

	gateway struct {
		dispatcher *dispatch.Dispatcher
		view       *feed.View
		member     *schema.Member
	}
)

// Send blocks until release is closed or ctx ends.
func (b blockingTransport) Send(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Answer, error) {
	select {
	case <-b.release:
	case <-ctx.Done():
	}
	return nil, figbank.NotRunError{Reason: figbank.ReasonUpstreamBusy}
}

// newGateway starts a gateway's dispatcher and exchanger. All gateways of a test learn of
// each other from the feed of the same replica.
func newGateway(t *testing.T, id, domain string, replica figbank.Address, upstreams blockingTransport) *gateway {
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
	g.dispatcher = dispatch.New(common, dispatch.Settings{Location: dispatch.Location{FailureDomain: figbank.FailureDomain(domain)}}, upstreams, g.view)
	exchanger := New(common, g.dispatcher, g.view, pool, g.member)
	server := transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_LOAD: exchanger.Serve})
	subscriber := feed.NewSubscriber(common, g.view, pool, g.member, []figbank.Address{replica})
	ctx, cancel := context.WithCancel(context.Background())
	go exchanger.Run(ctx)
	t.Cleanup(func() {
		cancel()
		subscriber.Close()
		g.dispatcher.Close()
		pool.Close()
		server.Close()
	})
	return g
}

// newReplica starts a feed with one upstream and the traffic rules of its service, and
// returns its address.
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

// outstanding returns the gateway's estimate of the requests that the upstream holds, -1
// before it knows the upstream.
func (g *gateway) outstanding() int {
	table := g.dispatcher.Table()
	if table == nil || table.Load("u", 1) == nil {
		return -1
	}
	return table.Load("u", 1).Outstanding(time.Now())
}

// waitFor waits until the condition is true, and fails the test after waitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", description, waitTimeout)
		}
	}
}

// noReply discards the answer.
type noReply struct{}

func (noReply) Head(int, http.Header, int64) {}
func (noReply) Write([]byte) error           { return nil }
func (noReply) Started() bool                { return false }

// A gateway's requests are counted by the other gateways, inside and outside its failure
// domain, and are no longer counted there after they have ended.
func TestLoadsReachTheOtherGateways(t *testing.T) {
	replica := newReplica(t)
	upstreams := blockingTransport{release: make(chan struct{})}
	first := newGateway(t, "g1", "a", replica, upstreams)
	sameDomain := newGateway(t, "g2", "a", replica, upstreams)
	otherDomain := newGateway(t, "g3", "b", replica, upstreams)
	for _, g := range []*gateway{first, sameDomain, otherDomain} {
		waitFor(t, "the upstream is known", func() bool { return g.outstanding() == 0 && len(g.view.Members()) == 3 })
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
	waitFor(t, "a gateway in the same domain counts the requests", func() bool { return sameDomain.outstanding() == requests })
	waitFor(t, "a gateway in another domain counts the requests", func() bool { return otherDomain.outstanding() == requests })
	if got := first.outstanding(); got != requests {
		t.Errorf("own count = %d, want %d", got, requests)
	}
	close(upstreams.release)
	for range requests {
		if err := <-ended; err == nil {
			t.Error("Serve() = nil, want the refusal")
		}
	}
	waitFor(t, "no requests counted in the same domain", func() bool { return sameDomain.outstanding() == 0 })
	waitFor(t, "no requests counted in another domain", func() bool { return otherDomain.outstanding() == 0 })
}
