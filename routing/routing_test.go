package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

var (
	location = Location{Region: "north", FailureDomain: "a"}
	noon     = time.Unix(1_700_000_000, 0)
)

// newConfiguration returns a configuration with one service whose manifest v2 is replacing
// v1. The failure domains listed in out are out of service.
func newConfiguration(out ...string) *schema.Configuration {
	declared := &schema.ServiceDeclaration{Name: "s", Manifest: "v2", FailureDomains: []string{"a", "b", "c"}}
	c := &schema.Configuration{Services: []*schema.ServiceInForce{{
		Current:  &schema.Accepted{Declaration: &schema.Declaration{Subject: &schema.Declaration_Service{Service: declared}}},
		Previous: []*schema.ServiceDeclaration{{Name: "s", Manifest: "v1"}},
	}}}
	for _, domain := range out {
		c.FailureDomains = append(c.FailureDomains, &schema.Accepted{Declaration: &schema.Declaration{
			Subject: &schema.Declaration_FailureDomain{FailureDomain: &schema.FailureDomainDeclaration{Name: domain, State: "Out"}},
		}})
	}
	return c
}

// upstream returns a ready upstream. Domain c is in another region than the rest.
func upstream(id, domain, manifest string, limit, inUse int64) *schema.Upstream {
	region := "north"
	if domain == "c" {
		region = "south"
	}
	return &schema.Upstream{
		Id: id, Service: "s", Region: region, FailureDomain: domain, Manifest: manifest,
		State: schema.UpstreamState_UPSTREAM_STATE_READY, Limit: limit, InUse: inUse,
	}
}

func TestPick(t *testing.T) {
	scenarios := []struct {
		name    string
		out     []string
		alive   []*schema.Upstream
		request Request
		want    figbank.UpstreamID
	}{
		{name: "own domain first", alive: []*schema.Upstream{upstream("c1", "c", "v2", 8, 0), upstream("b1", "b", "v2", 8, 0), upstream("a1", "a", "v2", 8, 4)}, want: "a1"},
		{name: "own region when the domain is full", alive: []*schema.Upstream{upstream("c1", "c", "v2", 8, 0), upstream("b1", "b", "v2", 8, 0), upstream("a1", "a", "v2", 8, 8)}, want: "b1"},
		{name: "another region last", alive: []*schema.Upstream{upstream("c1", "c", "v2", 8, 0), upstream("a1", "a", "v2", 8, 8)}, want: "c1"},
		{name: "not in a domain that is out", out: []string{"a"}, alive: []*schema.Upstream{upstream("a1", "a", "v2", 8, 0), upstream("b1", "b", "v2", 8, 0)}, want: "b1"},
		{name: "a version being replaced still serves", alive: []*schema.Upstream{upstream("a1", "a", "v1", 8, 0)}, want: "a1"},
		{name: "an undeclared version does not serve", alive: []*schema.Upstream{upstream("a1", "a", "v0", 8, 0)}, want: ""},
		{name: "no weights confirmed", alive: []*schema.Upstream{upstream("a1", "a", "", 8, 0)}, want: ""},
		{name: "only the pinned version", alive: []*schema.Upstream{upstream("a1", "a", "v1", 8, 0), upstream("c1", "c", "v2", 8, 0)}, request: Request{Pinned: true, Manifest: "v2"}, want: "c1"},
		{name: "not where it was tried already", alive: []*schema.Upstream{upstream("a1", "a", "v2", 8, 0), upstream("c1", "c", "v2", 8, 0)}, request: Request{Tried: []figbank.UpstreamID{"a1"}}, want: "c1"},
		{name: "larger than the limit, idle upstream", alive: []*schema.Upstream{upstream("a1", "a", "v2", 4, 0)}, request: Request{Cost: 9}, want: "a1"},
		{name: "larger than the limit, upstream not idle", alive: []*schema.Upstream{upstream("a1", "a", "v2", 4, 1)}, request: Request{Cost: 9}, want: ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			table := NewTable(nil, location, newConfiguration(s.out...), s.alive)
			for _, u := range s.alive {
				table.UpdateLoad(u, noon)
			}
			request := s.request
			request.Service, request.Now = "s", noon
			request.Cost = max(1, request.Cost)
			got, found := table.Pick(&request, rand.New(rand.NewPCG(1, 2)))
			if got.ID != s.want || found != (s.want != "") {
				t.Errorf("Pick() = %q, %t, want %q", got.ID, found, s.want)
			}
		})
	}
}

func TestFullUpstreamIsTriedAgainAfterLoadLifetime(t *testing.T) {
	full := upstream("a1", "a", "v2", 4, 4)
	table := NewTable(nil, location, newConfiguration(), []*schema.Upstream{full})
	table.UpdateLoad(full, noon)
	request := &Request{Service: "s", Cost: 1, Now: noon.Add(loadLifetime / 2)}
	random := rand.New(rand.NewPCG(1, 2))
	if _, found := table.Pick(request, random); found {
		t.Error("Pick() soon after it was full: found an upstream, want none")
	}
	request.Now = noon.Add(loadLifetime * 2)
	if _, found := table.Pick(request, random); !found {
		t.Error("Pick() after the load's lifetime: found none, want the upstream")
	}
}

func TestLoadsOutliveTables(t *testing.T) {
	alive := []*schema.Upstream{upstream("a1", "a", "v2", 8, 0)}
	first := NewTable(nil, location, newConfiguration(), alive)
	first.Candidates("s")[0].Load.Reserve(5, noon)
	next := NewTable(first, location, newConfiguration(), alive)
	if got := next.Candidates("s")[0].Load.Free(); got != 3 {
		t.Errorf("free = %d, want 3", got)
	}
	restarted := upstream("a1", "a", "v2", 8, 0)
	restarted.Incarnation = "new"
	last := NewTable(next, location, newConfiguration(), []*schema.Upstream{restarted})
	if got := last.Candidates("s")[0].Load.Free(); got != 8 {
		t.Errorf("free of a new incarnation = %d, want 8", got)
	}
}

// TestAffinity compares prefix affinity with the choice of two at random, by the share of
// requests that go to the same upstream as the previous request with the same prefix. With
// affinity, no upstream may get more than three times its share of all requests.
func TestAffinity(t *testing.T) {
	const upstreams, prefixes, requests = 10, 50, 5000
	measure := func(useAffinity bool) (share, worst float64) {
		var alive []*schema.Upstream
		for i := range upstreams {
			alive = append(alive, upstream(fmt.Sprintf("a%d", i), "a", "v2", 100, 0))
		}
		table := NewTable(nil, location, newConfiguration(), alive)
		random := rand.New(rand.NewPCG(7, 7))
		last, counts, repeated := map[int]figbank.UpstreamID{}, map[figbank.UpstreamID]int{}, 0
		for range requests {
			prefix := random.IntN(prefixes)
			request := &Request{Service: "s", Cost: 1, Now: noon}
			if useAffinity {
				request.Affinity = AffinityOf("w", fmt.Sprint(prefix))
			}
			picked, _ := table.Pick(request, random)
			if last[prefix] == picked.ID {
				repeated++
			}
			last[prefix] = picked.ID
			counts[picked.ID]++
		}
		for _, count := range counts {
			worst = max(worst, float64(count)*upstreams/requests)
		}
		return float64(repeated) / requests, worst
	}
	share, worst := measure(true)
	baseline, _ := measure(false)
	if share < 0.95 || baseline > 0.3 {
		t.Errorf("same upstream as before: %.2f with affinity, %.2f without, want at least 0.95 and at most 0.3", share, baseline)
	}
	if worst > 3 {
		t.Errorf("busiest upstream has %.1f times its share, want at most 3", worst)
	}
}
