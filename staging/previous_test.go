package staging

import (
	"context"
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/feed"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transport"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// An agent ends during a switch, and another writer announces a service of its own at the address of the agent's engine. The next process of
// the agent took what the engine had loaded for right without a look.
func TestSwitchOfAnEarlierProcessIsKnownBesideAnotherEntry(t *testing.T) {
	const address, born = "10.0.0.1:80", 5
	common := figbank.Common{Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope, Recorder: timeline.NewRecorder("a", clock.System{}, 1)}
	newView := func() *feed.View {
		return feed.NewView(common, time.Minute, configuration.NewFleetHolder(common.Recorder))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica := newView()
	server := transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_FEED: replica.Serve})
	t.Cleanup(server.Close)
	pool := transport.NewPool(common)
	t.Cleanup(pool.Close)
	start := func() (*feed.View, *feed.Subscriber) {
		view := newView()
		return view, feed.NewSubscriber(common, view, pool, &schema.Member{Id: "a", Role: schema.MemberRole_MEMBER_ROLE_AGENT}, []figbank.Address{figbank.Address(listener.Addr().String())})
	}
	ready := schema.InstanceState_INSTANCE_STATE_READY
	replica.Announce(&schema.Instance{Id: "i", Service: "s", Address: address, BornUnixMilli: born, State: ready})
	replica.Announce(&schema.Instance{Id: "x", Service: "other", Address: address, BornUnixMilli: born + 1, State: ready})
	_, earlier := start()
	earlier.SetEngine(&schema.EngineState{Address: address, BornUnixMilli: born, Sequence: 1, Switching: true})
	for deadline := time.Now().Add(10 * time.Second); !replica.Engine(address).GetSwitching(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the replica does not know that the engine is switching")
		}
	}
	earlier.Close()
	view, subscriber := start()
	t.Cleanup(subscriber.Close)
	s := &Stager{common: common, settings: Settings{Member: &schema.Member{Upstream: address}, Service: "s"}, view: view}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if got, switching := s.awaitPreviousState(ctx); got != born || !switching {
		t.Errorf("awaitPreviousState() = %d, %v, want %d, true", got, switching, born)
	}
}
