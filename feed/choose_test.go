package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"figbank"
	"figbank/registry"
	"figbank/schema"
)

func TestChoose(t *testing.T) {
	const opening, connected, failing = feedOpening, feedConnected, feedFailing
	otherDomain := func(address string, state feedState) candidate {
		return candidate{address: figbank.Address(address), state: state}
	}
	sameDomain := func(address string, state feedState) candidate {
		return candidate{address: figbank.Address(address), sameDomain: true, state: state}
	}
	scenarios := []struct {
		name       string
		candidates []candidate
		want       int
		first      []figbank.Address
	}{
		{name: "no candidates"},
		{name: "none tried yet, as many as wanted are", candidates: []candidate{otherDomain("a", opening), otherDomain("b", opening), sameDomain("c", opening), sameDomain("d", opening)}, want: 3, first: []figbank.Address{"d", "c"}},
		{name: "all fail, all are tried", candidates: []candidate{otherDomain("a", failing), otherDomain("b", failing), sameDomain("c", failing), sameDomain("d", failing)}, want: 4, first: []figbank.Address{"d", "c"}},
		{name: "all connected, same failure domain first", candidates: []candidate{otherDomain("a", connected), otherDomain("b", connected), sameDomain("c", connected), sameDomain("d", connected)}, want: 3, first: []figbank.Address{"d", "c"}},
		{name: "one in the same failure domain is disconnected, another replaces it", candidates: []candidate{otherDomain("a", connected), otherDomain("b", connected), sameDomain("c", failing), sameDomain("d", connected)}, want: 4, first: []figbank.Address{"d", "c"}},
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

// When one of five replicas is lost, each process that it fed asks one more replica, and the others
// stay with theirs. If all who are left were asked, twice as many newcomers would come as must.
func TestLostReplicaIsReplacedByOne(t *testing.T) {
	for p := range 144 {
		self := figbank.ProcessID(fmt.Sprint("process-", p))
		var candidates []candidate
		for i := range 5 {
			candidates = append(candidates, candidate{address: figbank.Address(fmt.Sprint("10.", i, ".0.1:1")), sameDomain: p%5 == i, state: feedOpening})
		}
		before := choose(self, candidates, 3)
		for i := range candidates {
			if slices.Contains(before, candidates[i].address) {
				candidates[i].state = feedConnected
			}
		}
		lost := candidates[0].address
		candidates[0].state = feedFailing
		added := 0
		for _, address := range choose(self, candidates, 3) {
			if !slices.Contains(before, address) {
				added++
			}
		}
		if want := map[bool]int{true: 1}[slices.Contains(before, lost)]; added != want {
			t.Errorf("%s asks %d more replicas after the loss of %s, want %d", self, added, lost, want)
		}
	}
}

// Attempts at a replica that is gone get rarer, and processes that lost it together spread out.
func TestReconnectPause(t *testing.T) {
	scenarios := []struct {
		failures int
		spread   float64
		want     time.Duration
	}{
		{failures: 1, spread: 0.5, want: 200 * time.Millisecond},
		{failures: 1, spread: 0, want: 150 * time.Millisecond},
		{failures: 1, spread: 1, want: 250 * time.Millisecond},
		{failures: 3, spread: 0.5, want: 800 * time.Millisecond},
		{failures: 100, spread: 0.5, want: maxReconnectDelay},
	}
	for _, s := range scenarios {
		if got := reconnectPause(s.failures, s.spread); got != s.want {
			t.Errorf("reconnectPause(%d, %v) = %v, want %v", s.failures, s.spread, got, s.want)
		}
	}
}

// Processes spread evenly over the replicas of other failure domains.
func TestChoiceSpreadsProcesses(t *testing.T) {
	var candidates []candidate
	for i := range 6 {
		candidates = append(candidates, candidate{address: figbank.Address(fmt.Sprint("10.0.0.", i, ":1")), state: feedConnected})
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

// If a partition separates a minority of the replicas, every process still has a feed from the
// majority.
func TestEveryMajorityFeedsEachProcess(t *testing.T) {
	for replicas := 1; replicas <= 9; replicas++ {
		largestMinority := (replicas - 1) / 2
		if got := min(wantedFeeds(replicas), replicas); got <= largestMinority {
			t.Errorf("with %d replicas a process has %d feeds, but a partition can separate %d replicas from the majority", replicas, got, largestMinority)
		}
	}
}

// A process connects to a few of many replicas and learns of all other processes from them. It
// connects to other replicas when its own stop.
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
	await(t, "both gateways know all processes", func() bool { return len(first.view.Members()) == 8 && len(second.view.Members()) == 8 })
	wanted := wantedFeeds(len(replicas))
	await(t, "each gateway has the wanted number of feeds", func() bool { return first.subscriber.count() == wanted && second.subscriber.count() == wanted })
	for _, r := range replicas[:4] {
		r.subscriber.Close()
		r.server.Close()
	}
	replicas[5].view.Announce(announce(1))
	await(t, "updates arrive through the remaining replicas", func() bool {
		return len(first.view.Upstreams(registry.AnyService)) == 1 && len(second.view.Upstreams(registry.AnyService)) == 1
	})
	await(t, "the gateways still know each other", func() bool { return knows(first, "g2") && knows(second, "g1") })
}

func (s *Subscriber) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectedFeeds()
}

func knows(n *node, id string) bool {
	return slices.ContainsFunc(n.view.Members(), func(m *schema.Member) bool { return m.GetId() == id })
}
