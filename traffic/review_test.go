package traffic

import (
	"slices"
	"strings"
	"testing"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

func soundRules() *schema.Traffic {
	return &schema.Traffic{
		Number:   1,
		Services: []*schema.RoutedService{{Name: "s"}, {Name: "weights", Origin: "10.0.0.1:80"}},
		Routes: []*schema.Route{{
			Name: "r", Host: "h.example", PathPrefix: "/a/", Kind: schema.CallKind_CALL_KIND_SAFE, TimeoutMilliseconds: 1000, TargetMilliseconds: 300,
			MaxUpstreams: 2, Shares: []*schema.RouteShare{{Service: "s", Weight: 1}},
		}},
		Workspaces: []*schema.WorkspaceKeys{{Name: "w", Keys: []string{"k"}}},
		Limits:     &schema.CallerLimits{HeaderTimeoutMilliseconds: 3000, IdleTimeoutMilliseconds: 15000},
	}
}

func TestReview(t *testing.T) {
	scenarios := []struct {
		name string
		edit func(r *schema.Traffic)
		// want is a part of the only finding, empty for none.
		want string
	}{
		{name: "sound", edit: func(*schema.Traffic) {}},
		{name: "prefix without a slash", edit: func(r *schema.Traffic) { r.Routes[0].PathPrefix = "a/" }, want: "never matches"},
		{name: "host in capitals", edit: func(r *schema.Traffic) { r.Routes[0].Host = "H" }, want: "hardly matches"},
		{name: "weight of 0", edit: func(r *schema.Traffic) {
			r.Services = append(r.Services, &schema.RoutedService{Name: "t"})
			r.Routes = append(r.Routes, proto.CloneOf(r.Routes[0]))
			r.Routes[1].PathPrefix = "/b/"
			r.Routes[1].Shares = append(r.Routes[1].Shares, &schema.RouteShare{Service: "t", Weight: 1})
			r.Routes[0].Shares = append(r.Routes[0].Shares, &schema.RouteShare{Service: "t"})
		}, want: "gets nothing"},
		{name: "service without a route", edit: func(r *schema.Traffic) { r.Services = append(r.Services, &schema.RoutedService{Name: "t"}) }, want: "no route leads"},
		{name: "objective above the timeout", edit: func(r *schema.Traffic) { r.Routes[0].TargetMilliseconds = 2000 }, want: "above the timeout"},
		{name: "no objective", edit: func(r *schema.Traffic) { r.Routes[0].TargetMilliseconds = 0 }, want: "no objective"},
		{name: "resumed, but no stream", edit: func(r *schema.Traffic) { r.Routes[0].Resumable = true }, want: "only streams"},
		{name: "repeated, but unsafe", edit: func(r *schema.Traffic) { r.Routes[0].Kind = schema.CallKind_CALL_KIND_UNSAFE }, want: "at most once"},
		{name: "homes without one in common", edit: func(r *schema.Traffic) {
			r.Routes[0].HomeRegions, r.Workspaces[0].HomeRegions = []string{"a"}, []string{"b"}
		}, want: "can never use it"},
		{name: "workspace without a key", edit: func(r *schema.Traffic) { r.Workspaces[0].Keys = nil }, want: "has no key"},
		{name: "empty key", edit: func(r *schema.Traffic) { r.Workspaces[0].Keys = []string{"k", ""} }, want: "empty key"},
		{name: "head slower than an idle connection", edit: func(r *schema.Traffic) { r.Limits.HeaderTimeoutMilliseconds = 20000 }, want: "a head may take"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			rules := soundRules()
			s.edit(rules)
			if err := Check(rules); err != nil {
				t.Fatalf("Check() = %v, want rules that are accepted", err)
			}
			got := Review(rules)
			if s.want == "" && len(got) > 0 || s.want != "" && (len(got) != 1 || !strings.Contains(got[0].Detail, s.want)) {
				t.Errorf("Review() = %v, want one finding with %q", got, s.want)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	next := soundRules()
	next.Number = 2
	next.Routes[0].TimeoutMilliseconds = 500
	next.Routes = append(next.Routes, &schema.Route{Name: "n", Host: "h.example", PathPrefix: "/n/"})
	next.Services = next.Services[:1]
	next.Workspaces[0].Keys = []string{"secret", "other"}
	next.Limits.IdleTimeoutMilliseconds = 9000
	want := []string{
		"route h.example/a/: TimeoutMilliseconds 1000 → 500", "route h.example/n/: added", "service weights: removed",
		"workspace w: Keys: 1 before, 2 after", "limits: IdleTimeoutMilliseconds 15000 → 9000",
	}
	if got := Compare(soundRules(), next); !slices.Equal(got, want) {
		t.Errorf("Compare() = %q, want %q", got, want)
	}
	if got := Compare(next, next); len(got) > 0 {
		t.Errorf("Compare() of the same rules = %q, want nothing", got)
	}
}
