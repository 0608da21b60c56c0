package feed

import (
	"testing"
	"time"

	"figbank/schema"
)

// A process that learned of a replica of another deployment took over its fleet state, or ignored that of its own log
// until the index of that was higher.
func TestFleetStatesOfAnotherLogAreRefused(t *testing.T) {
	own, other := newNode(t, "r1", replica), newNode(t, "r2", replica)
	own.fleet.Offer(&schema.Fleet{CommitIndex: 5, Log: "own"})
	other.fleet.Offer(&schema.Fleet{CommitIndex: 90, Log: "other"})
	g := newNode(t, "g1", gateway, own.address)
	await(t, "the fleet is known to the gateway", func() bool { return g.view.Fleet().GetCommitIndex() == 5 })
	g.subscriber.SetSeeds(append(g.subscriber.seeds, other.address))
	time.Sleep(300 * time.Millisecond)
	own.fleet.Offer(&schema.Fleet{CommitIndex: 6, Log: "own"})
	await(t, "a newer fleet state of its own log is known to the gateway", func() bool { return g.view.Fleet().GetCommitIndex() == 6 })
	if got := other.view.CurrentMembers(); len(got) != 0 {
		t.Errorf("members at the replica of the other log = %v, want none", got)
	}
	if got := g.view.Fleet().GetLog(); got != "own" {
		t.Errorf("log of the gateway = %q, want %q", got, "own")
	}
}
