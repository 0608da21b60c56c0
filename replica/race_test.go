package replica

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

// Replicas are slow, since they have too much to do. If each proposal asks several of them then, they have
// several times as much.
func TestOnlyOneProposalAsksSeveralReplicasAtATime(t *testing.T) {
	client := NewClient(common("gateway"), nil, func() []Endpoint { return nil })
	first, second := newRace(t.Context(), client, publish(1)), newRace(t.Context(), client, publish(2))
	for _, replica := range []string{"second", "third"} {
		if !first.mayHedge() {
			t.Errorf("the first proposal may not ask a %s replica, want it to", replica)
		}
	}
	if second.mayHedge() {
		t.Error("a second proposal may ask several replicas, want only one")
	}
	first.stopHedging()
	if !second.mayHedge() {
		t.Error("the second proposal may not ask several replicas after the first has ended, want it to")
	}
}

// Hosts of the log were lost, and their addresses are still among those to try. An operator waits a second
// for an answer. Each attempt at such an address may take two, so every call was spent on the first one.
func TestLostHostsDoNotUseUpACall(t *testing.T) {
	const callTimeout = time.Second
	g := newCluster(t)
	g.mustPublish(1)
	var endpoints []Endpoint
	for _, id := range []figbank.ProcessID{"lost1", "lost2"} {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
		endpoints = append(endpoints, Endpoint{ID: id, Address: figbank.Address(silent.Addr().String())})
	}
	for _, m := range g.members {
		endpoints = append(endpoints, Endpoint{ID: m.id, Address: m.address})
	}
	for call := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		client := NewClient(common("operator"), g.members[0].pool, func() []Endpoint { return endpoints })
		if _, err := client.Propose(ctx, publish(int64(call+2))); err != nil {
			t.Errorf("call %d: Propose() = %v, want it accepted within %v", call, err, callTimeout)
		}
		cancel()
	}
}

// A command holds a text that is no UTF-8, which no message can. Its caller must be told at once that it can never be accepted,
// not have it sent to all replicas again and again until the time is over.
func TestCommandThatCannotBeEncodedIsRefusedAtOnce(t *testing.T) {
	g := newCluster(t)
	g.mustPublish(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	command := &schema.Command{Action: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{FailureDomain: "zone-\xff", Order: "1"}}}
	if _, err := g.client.Propose(ctx, command); !errors.As(err, new(figbank.InvalidError)) {
		t.Errorf("Propose() = %v, want an InvalidError", err)
	}
}
