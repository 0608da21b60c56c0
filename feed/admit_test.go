package feed

import (
	"context"
	"testing"
	"time"

	"figbank/schema"
	"figbank/transport"
)

// A replica that was frozen finds the messages of processes that have given up since. It must not
// count them as subscribers nor send them its state.
func TestSubscribersThatGaveUpCostNothing(t *testing.T) {
	r := newNode(t, "r1", replica)
	pool := transport.NewPool(r.view.common)
	defer pool.Close()
	for range 20 {
		stream, err := pool.Open(context.Background(), r.address, schema.StreamKind_STREAM_KIND_FEED)
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&schema.Subscribe{Member: &schema.Member{Id: "gone", Role: gateway}}); err != nil {
			t.Fatal(err)
		}
		stream.Close()
	}
	g := newNode(t, "g1", gateway, r.address)
	await(t, "a process that waits is fed", g.subscriber.Connected)
	time.Sleep(100 * time.Millisecond)
	if work := r.view.Work(); work.Joins != 1 {
		t.Errorf("subscribers = %d, want 1: the others gave up before they were admitted", work.Joins)
	}
}

// A process that subscribed before replicas asked for a confirmation sends its first refresh without
// waiting for one.
func TestRefreshConfirmsASubscription(t *testing.T) {
	r := newNode(t, "r1", replica)
	pool := transport.NewPool(r.view.common)
	defer pool.Close()
	stream, err := pool.Open(context.Background(), r.address, schema.StreamKind_STREAM_KIND_FEED)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for range 2 {
		if err := stream.Send(&schema.Subscribe{Member: &schema.Member{Id: "older", Role: gateway}}); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "the process is a member", func() bool { return len(r.view.Members()) == 1 })
	first, second := &schema.FeedUpdate{}, &schema.FeedUpdate{}
	if err := stream.Receive(first); err != nil {
		t.Fatal(err)
	}
	if err := stream.Receive(second); err != nil || !second.GetAllMembers() {
		t.Errorf("second update = %v, %v, want the whole list", second, err)
	}
	if got, want := r.view.Members()[0].GetId(), "older"; got != want {
		t.Errorf("member = %s, want %s", got, want)
	}
}
