package feed

import (
	"fmt"
	"slices"
	"testing"

	"figbank"
	"figbank/schema"
)

func TestChoose(t *testing.T) {
	far := func(address string, reached bool) candidate {
		return candidate{address: figbank.Address(address), reached: reached}
	}
	near := func(address string, reached bool) candidate {
		return candidate{address: figbank.Address(address), near: true, reached: reached}
	}
	scenarios := []struct {
		name       string
		candidates []candidate
		want       int
		first      []figbank.Address
	}{
		{name: "none known"},
		{name: "nothing reached yet, all are tried", candidates: []candidate{far("a", false), far("b", false), near("c", false), near("d", false)}, want: 4, first: []figbank.Address{"d", "c"}},
		{name: "all reached, near ones first", candidates: []candidate{far("a", true), far("b", true), near("c", true), near("d", true)}, want: 3, first: []figbank.Address{"d", "c"}},
		{name: "a near one is lost, another stands in", candidates: []candidate{far("a", true), far("b", true), near("c", false), near("d", true)}, want: 4, first: []figbank.Address{"d", "c"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := choose("p", s.candidates, 3)
			if len(got) != s.want {
				t.Errorf("choose() = %v, want %d", got, s.want)
			}
			if !slices.Equal(got[:len(s.first)], s.first) {
				t.Errorf("choose() = %v, want %v first", got, s.first)
			}
		})
	}
}

// Processes spread over the replicas that are not near.
func TestChoiceSpreads(t *testing.T) {
	var candidates []candidate
	for i := range 6 {
		candidates = append(candidates, candidate{address: figbank.Address(fmt.Sprint("10.0.0.", i, ":1")), reached: true})
	}
	counts := map[figbank.Address]int{}
	for p := range 120 {
		for _, address := range choose(figbank.ProcessID(fmt.Sprint("gateway-", p)), candidates, 3) {
			counts[address]++
		}
	}
	for address, got := range counts {
		if got < 30 || got > 90 {
			t.Errorf("%s feeds %d of 120 processes, want about 60", address, got)
		}
	}
}

// However replicas are cut in two, a process is fed by one of the larger part.
func TestMajorityAlwaysFeedsEachProcess(t *testing.T) {
	for replicas := 1; replicas <= 9; replicas++ {
		largestMinority := (replicas - 1) / 2
		if got := min(wantedOf(replicas), replicas); got <= largestMinority {
			t.Errorf("of %d replicas %d are followed, and %d may be cut off from the others", replicas, got, largestMinority)
		}
	}
}

// A process follows a few of many replicas, hears from them of all others, and
// finds others when its own go.
func TestFewReplicasSuffice(t *testing.T) {
	var replicas []*node
	var seeds []figbank.Address
	for i := range 6 {
		r := newNode(t, fmt.Sprintf("r%d", i), replica, seeds...)
		replicas = append(replicas, r)
		seeds = append(seeds, r.address)
	}
	first := newNode(t, "g1", gateway, seeds[0])
	second := newNode(t, "g2", gateway, seeds[5])
	await(t, "both know all", func() bool { return len(first.view.Members()) == 8 && len(second.view.Members()) == 8 })
	wanted := wantedOf(len(replicas))
	await(t, "each follows three", func() bool { return first.subscriber.count() == wanted && second.subscriber.count() == wanted })
	for _, r := range replicas[:4] {
		r.subscriber.Close()
		r.server.Close()
	}
	replicas[5].view.Announce(announce(1))
	await(t, "news arrives by those that are left", func() bool {
		return len(first.view.Upstreams()) == 1 && len(second.view.Upstreams()) == 1
	})
	await(t, "the gateways still know each other", func() bool { return knows(first, "g2") && knows(second, "g1") })
}

func (s *Subscriber) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reached)
}

func knows(n *node, id string) bool {
	return slices.ContainsFunc(n.view.Members(), func(m *schema.Member) bool { return m.GetId() == id })
}
