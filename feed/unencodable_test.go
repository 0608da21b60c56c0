package feed

import (
	"testing"

	"figbank/registry"
	"figbank/schema"
)

// What a replica knows has a text that is no UTF-8, which messages refuse. Each subscriber's first update holds all records, so
// no process would ever be fed again, until the replica is restarted: the one record must be left out, not all of them.
func TestRecordThatCannotBeEncodedKeepsNoOtherBack(t *testing.T) {
	scenarios := []struct {
		name string
		odd  *schema.Member
	}{
		{name: "id", odd: &schema.Member{Id: "odd\xff", Role: replica, Address: "r:1"}},
		{name: "address", odd: &schema.Member{Id: "odd", Role: replica, Address: "\xff:1"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newNode(t, "r1", replica)
			r.view.addSubscriber(s.odd, nil)
			r.view.Announce(announce(1))
			g := newNode(t, "g1", gateway, r.address)
			await(t, "a process that subscribes later is fed", func() bool { return len(g.view.Upstreams(registry.AnyService)) == 1 })
			later := announce(2)
			later.State = schema.InstanceState_INSTANCE_STATE_LEAVING
			r.view.Announce(later)
			await(t, "the leave arrives", func() bool { return g.view.Upstreams(registry.AnyService)[0].Record.GetState() == later.GetState() })
		})
	}
}
