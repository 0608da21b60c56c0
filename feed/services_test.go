package feed

import (
	"testing"

	"figbank"
	"figbank/registry"
	"figbank/schema"
	"figbank/traffic"
)

func fleetNaming(t *testing.T, index uint64, names ...string) *schema.Fleet {
	t.Helper()
	rules := &schema.Traffic{Number: int64(index)}
	for _, name := range names {
		rules.Services = append(rules.Services, &schema.RoutedService{Name: name})
	}
	packed, err := traffic.PackRules(rules)
	if err != nil {
		t.Fatal(err)
	}
	return &schema.Fleet{CommitIndex: index, TrafficNumber: rules.GetNumber(), PackedTraffic: packed}
}

// knows reports whether a process has a record of the upstream of announce under a service.
func (n *node) knows(service string) bool {
	return n.view.Instance("i", figbank.ServiceName(service)) != nil
}

func announceFor(service string) *schema.Instance {
	record := announce(1)
	record.Service = service
	return record
}

// A gateway that is told of rules has to know the upstreams of the services that they name, those too that announced themselves before. Others
// must not cost it anything.
func TestGatewaysAreToldOfNamedServices(t *testing.T) {
	r := newNode(t, "r1", replica)
	g := newNode(t, "g1", gateway, r.address)
	second := newNode(t, "r2", replica, r.address)
	r.fleet.Offer(fleetNaming(t, 1, "s"))
	await(t, "the gateway has the rules", func() bool { return g.view.Fleet().GetCommitIndex() == 1 })
	unknown := false
	g.view.Watch(func() {
		if g.view.Fleet().GetCommitIndex() == 2 && !g.knows("other") {
			unknown = true
		}
	})
	r.view.Announce(announceFor("other"))
	r.view.Announce(announceFor("s"))
	await(t, "the gateway knows the upstream", func() bool { return g.knows("s") })
	await(t, "the other replica knows the other one too", func() bool { return second.knows("other") })
	if g.knows("other") {
		t.Error("the gateway is told of a service that no rules name")
	}
	r.fleet.Offer(fleetNaming(t, 2, "s", "other"))
	await(t, "the gateway knows the upstream of the service that is named now", func() bool { return g.knows("other") })
	await(t, "the gateway has the new rules", func() bool { return g.view.Fleet().GetCommitIndex() == 2 })
	if unknown {
		t.Error("the gateway had the new rules before it knew the upstream")
	}
	if got := len(g.view.Upstreams(registry.AnyService)); got != 1 {
		t.Errorf("upstreams = %d, want 1: both records have one id", got)
	}
}

// A replica is cut off from the log and still hears upstreams. A gateway has newer rules, by another replica: what the old ones do not
// name may count for it.
func TestReplicaWithOldRulesHoldsNothingBack(t *testing.T) {
	r := newNode(t, "r1", replica)
	g := newNode(t, "g1", gateway, r.address)
	r.fleet.Offer(fleetNaming(t, 1, "s"))
	await(t, "the gateway has the rules", func() bool { return g.view.Fleet().GetCommitIndex() == 1 })
	r.view.Announce(announceFor("other"))
	g.fleet.Offer(fleetNaming(t, 2, "s", "other"))
	await(t, "the gateway knows the upstream", func() bool { return g.knows("other") })
}
