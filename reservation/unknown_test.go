package reservation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/dispatch"
	"figbank/fake"
	"figbank/load"
	"figbank/schema"
	"figbank/transport"
)

// startKeepers starts gateways that keep places of upstreams of the failure domain z, each with a table of its
// own. The returned function stops them.
func startKeepers(network *fake.Network, client *Client, tables map[string]func() *dispatch.Table) func() {
	members := []*schema.Member{client.self}
	var servers []*transport.Server
	for id, table := range tables {
		address := figbank.Address("z/" + id + ":1")
		members = append(members, &schema.Member{Id: id, Role: schema.MemberRole_MEMBER_ROLE_GATEWAY, FailureDomain: "z", Address: string(address)})
		servers = append(servers, transport.NewServer(newCommon(id), network.Listen(address), transport.Handlers{
			schema.StreamKind_STREAM_KIND_RESERVE: NewKeeper(clock.System{}, table).Serve,
		}))
	}
	client.update(members)
	return func() {
		for _, server := range servers {
			server.Close()
		}
	}
}

// keeperOrder returns the ids of two keepers, that of the one which is asked first in front.
func keeperOrder(target *dispatch.Target) (first, second string) {
	a, b := &schema.Member{Id: "a"}, &schema.Member{Id: "b"}
	if rendezvousHash(a, target) > rendezvousHash(b, target) {
		return "a", "b"
	}
	return "b", "a"
}

// A gateway that has just started is asked for places before it knows the upstreams. Callers were refused
// although all places were free.
func TestStartedKeeperRefusesNoFreePlace(t *testing.T) {
	const (
		ready   = schema.InstanceState_INSTANCE_STATE_READY
		leaving = schema.InstanceState_INSTANCE_STATE_LEAVING
	)
	scenarios := []struct {
		name string
		// first and second are the tables of the keeper that is asked first, and of the other one.
		first, second          *dispatch.Table
		wantKnown, wantGranted bool
	}{
		{name: "both know the upstream", first: newTable(), second: newTable(), wantKnown: true, wantGranted: true},
		{name: "the first one has no table", second: newTable(), wantKnown: true, wantGranted: true},
		{name: "the first one's table lacks the upstream", first: &dispatch.Table{}, second: newTable(), wantKnown: true, wantGranted: true},
		{name: "the first one knows an earlier incarnation", first: newTableWith(&schema.Instance{Id: "u", BornUnixMilli: -1, State: ready}), second: newTable(), wantKnown: true, wantGranted: true},
		{name: "neither knows the upstream", second: &dispatch.Table{}},
		{name: "the first one knows that the upstream leaves", first: newTableWith(&schema.Instance{Id: "u", State: leaving}), second: newTable(), wantKnown: true},
		{name: "the first one knows a later incarnation", first: newTableWith(&schema.Instance{Id: "u", BornUnixMilli: 1, State: ready}), second: newTable(), wantKnown: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clearTimerPools()
			synctest.Test(t, func(t *testing.T) {
				network := fake.NewNetwork(clock.System{}, time.Millisecond, 2*time.Millisecond)
				client, target, closePool := newClient(network)
				first, second := keeperOrder(target)
				stop := startKeepers(network, client, map[string]func() *dispatch.Table{
					first: func() *dispatch.Table { return s.first }, second: func() *dispatch.Table { return s.second },
				})
				began := time.Now()
				for range 3 {
					answer, known := client.Reserve(context.Background(), target, placeRequest)
					if known != s.wantKnown || answer.Granted != s.wantGranted {
						t.Errorf("Reserve() = granted %v, known %v, want %v, %v", answer.Granted, known, s.wantGranted, s.wantKnown)
					}
					if answer.Granted {
						answer.Place.End()
					}
				}
				if got := time.Since(began); got >= askTimeout {
					t.Errorf("three places took %v, want less than %v", got, askTimeout)
				}
				closePool()
				stop()
				time.Sleep(2 * idleTime)
				synctest.Wait()
			})
		})
	}
}

// While the keeper of a limited upstream does not know it yet, another gateway hands out places. Both together
// keep the limit, also when the first one learns of the upstream.
func TestLimitHoldsWhileItsKeeperStarts(t *testing.T) {
	const perSecond, seconds = 2, 4
	clearTimerPools()
	synctest.Test(t, func(t *testing.T) {
		network := fake.NewNetwork(clock.System{}, time.Millisecond, 2*time.Millisecond)
		client, target, closePool := newClient(network)
		target.Load.RecordLimit(load.LimitNotice{Named: true, PerSecond: perSecond, At: time.Now()})
		whole := newTable()
		learned := time.Now().Add(seconds * time.Second / 2)
		late := func() *dispatch.Table {
			if time.Now().Before(learned) {
				return nil
			}
			return whole
		}
		first, second := keeperOrder(target)
		stop := startKeepers(network, client, map[string]func() *dispatch.Table{first: late, second: func() *dispatch.Table { return whole }})
		before, granted := 0, 0
		for range seconds * 100 {
			answer, known := client.Reserve(context.Background(), target, placeRequest)
			if !known {
				t.Fatal("Reserve() = unknown, want an answer")
			}
			if answer.Granted {
				granted++
				answer.Place.End()
			}
			if time.Now().Before(learned) {
				before = granted
			}
			time.Sleep(10 * time.Millisecond)
		}
		if before == 0 {
			t.Error("no place was granted while the keeper did not know the upstream, want some")
		}
		if most := seconds * perSecond; granted > most {
			t.Errorf("places granted in %d s at %d a second = %d, want at most %d", seconds, perSecond, granted, most)
		}
		closePool()
		stop()
		time.Sleep(2 * idleTime)
		synctest.Wait()
	})
}
