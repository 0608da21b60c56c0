package traffic

import (
	"errors"
	"slices"
	"testing"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// rules returns valid traffic rules. The change function, if any, is applied to them.
func rules(change func(*schema.Traffic)) *schema.Traffic {
	r := &schema.Traffic{
		Number: 1,
		Routes: []*schema.Route{
			{Name: "r1", Host: "h", PathPrefix: "/a/", Kind: schema.CallKind_CALL_KIND_SAFE, TimeoutMilliseconds: 10, Shares: []*schema.RouteShare{{Service: "s", Weight: 1}}},
			{Name: "r2", Host: "h", PathPrefix: "/a/b/", Kind: schema.CallKind_CALL_KIND_STREAM, TimeoutMilliseconds: 10, Shares: []*schema.RouteShare{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
		},
		Services:   []*schema.RoutedService{{Name: "s"}, {Name: "t"}},
		Workspaces: []*schema.WorkspaceKeys{{Name: "w1", Keys: []string{"k1"}}, {Name: "w2", Keys: []string{"k2"}}},
	}
	if change != nil {
		change(r)
	}
	return r
}

func TestRouteMatchesTheLongestPrefix(t *testing.T) {
	table := NewTable(rules(nil))
	scenarios := []struct {
		name, host, path, want string
	}{
		{name: "longest prefix", host: "h", path: "/a/b/c", want: "r2"},
		{name: "shorter prefix", host: "h", path: "/a/bc", want: "r1"},
		{name: "no prefix", host: "h", path: "/b/", want: ""},
		{name: "other host", host: "g", path: "/a/", want: ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := ""
			if route := table.Route(s.host, s.path); route != nil {
				got = route.GetName()
			}
			if got != s.want {
				t.Errorf("Route(%q, %q) = %q, want %q", s.host, s.path, got, s.want)
			}
		})
	}
}

func TestServiceFollowsTheWeights(t *testing.T) {
	route := NewTable(rules(nil)).Route("h", "/a/b/")
	counts := map[figbank.ServiceName]int{}
	for draw := range uint64(100) {
		counts[route.Service(draw)]++
	}
	if counts["s"] != 90 || counts["t"] != 10 {
		t.Errorf("services drawn = %v, want 90 of s and 10 of t", counts)
	}
}

func TestCheck(t *testing.T) {
	scenarios := []struct {
		name   string
		change func(*schema.Traffic)
		valid  bool
	}{
		{name: "valid", valid: true},
		{name: "unknown service", change: func(r *schema.Traffic) { r.Routes[0].Shares[0].Service = "x" }},
		{name: "same host and path prefix", change: func(r *schema.Traffic) { r.Routes[1].PathPrefix = "/a/" }},
		{name: "weights add up to 0", change: func(r *schema.Traffic) { r.Routes[0].Shares[0].Weight = 0 }},
		{name: "no timeout", change: func(r *schema.Traffic) { r.Routes[0].TimeoutMilliseconds = 0 }},
		{name: "shared key", change: func(r *schema.Traffic) { r.Workspaces[1].Keys[0] = "k1" }},
		{name: "unknown kind", change: func(r *schema.Traffic) { r.Routes[0].Kind = 0 }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := Check(rules(s.change))
			if s.valid && err != nil {
				t.Errorf("Check() = %v, want nil", err)
			}
			if !s.valid && !errors.As(err, new(figbank.InvalidError)) {
				t.Errorf("Check() = %v, want an InvalidError", err)
			}
		})
	}
}

func TestAllowedRegionsCombineRouteAndWorkspace(t *testing.T) {
	route := func(homeRegions ...string) *Route { return newRoute(&schema.Route{HomeRegions: homeRegions}) }
	scenarios := []struct {
		name       string
		route      *Route
		workspace  *Workspace
		want       []string
		restricted bool
	}{
		{name: "no restriction", route: route(), workspace: &Workspace{}},
		{name: "route only", route: route("a"), want: []string{"a"}, restricted: true},
		{name: "workspace only", route: route(), workspace: &Workspace{HomeRegions: []string{"b"}}, want: []string{"b"}, restricted: true},
		{name: "both", route: route("a", "b"), workspace: &Workspace{HomeRegions: []string{"b", "c"}}, want: []string{"b"}, restricted: true},
		{name: "no common region", route: route("a"), workspace: &Workspace{HomeRegions: []string{"b"}}, restricted: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got, restricted := AllowedRegions(s.route, s.workspace)
			if !slices.Equal(got, s.want) || restricted != s.restricted {
				t.Errorf("AllowedRegions() = %v, %v, want %v, %v", got, restricted, s.want, s.restricted)
			}
		})
	}
}

func TestPackRulesRoundTrip(t *testing.T) {
	want := rules(nil)
	packed, err := PackRules(want)
	if err != nil {
		t.Fatalf("PackRules() = %v", err)
	}
	got, err := UnpackRules(packed)
	if err != nil {
		t.Fatalf("UnpackRules() = %v", err)
	}
	if !proto.Equal(got, want) {
		t.Errorf("UnpackRules() = %v, want %v", got, want)
	}
	if _, err := UnpackRules(packed[:len(packed)/2]); err == nil {
		t.Error("UnpackRules() of half the bytes = nil, want an error")
	}
}
