// Package traffic finds the route and the workspace of a request in an immutable table,
// which is built from the traffic rules that operators publish.
package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"figbank"
	"figbank/schema"
)

type (
	// Table is one set of traffic rules, indexed for look-ups. It is immutable.
	Table struct {
		rules    *schema.Traffic
		routes   map[string][]*Route
		keys     map[string]*Workspace
		services map[figbank.ServiceName]*schema.RoutedService
		maxBody  figbank.Bytes
		// ranked holds the services to which routes of different priority lead.
		ranked map[figbank.ServiceName]bool
	}

	// Route is one routing rule with its derived durations and total weight.
	Route struct {
		*schema.Route
		// Timeout is the time within which an answer must be complete.
		Timeout time.Duration
		// LatencyTarget is the objective for the time to the first byte or event.
		LatencyTarget time.Duration
		// GapTarget is the objective for the longest pause between two events.
		GapTarget   time.Duration
		totalWeight uint64
	}

	// Workspace is the holder of a key.
	Workspace struct {
		Name figbank.Workspace
		// Priority is valid if HasPriority is set.
		Priority    int64
		HasPriority bool
		// HomeRegions are the regions in which its requests may run, empty for all.
		HomeRegions []string
	}
)

// NewTable builds a table from rules that have passed Check.
func NewTable(rules *schema.Traffic) *Table {
	t := &Table{
		rules: rules, routes: map[string][]*Route{}, keys: map[string]*Workspace{},
		services: map[figbank.ServiceName]*schema.RoutedService{},
		maxBody:  figbank.Bytes(rules.GetLimits().GetMaxBodyBytes()),
	}
	for _, rule := range rules.GetRoutes() {
		t.routes[rule.GetHost()] = append(t.routes[rule.GetHost()], newRoute(rule))
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.GetPathPrefix()), len(a.GetPathPrefix()))
		})
	}
	for _, holder := range rules.GetWorkspaces() {
		workspace := &Workspace{
			Name: figbank.Workspace(holder.GetName()), Priority: holder.GetPriority(),
			HasPriority: holder.GetHasPriority(), HomeRegions: holder.GetHomeRegions(),
		}
		for _, key := range holder.GetKeys() {
			t.keys[key] = workspace
		}
		// A caller without a key must not become the holder of an empty one.
		delete(t.keys, "")
	}
	for _, service := range rules.GetServices() {
		t.services[figbank.ServiceName(service.GetName())] = service
	}
	t.ranked = rankedServices(rules)
	return t
}

// rankedServices returns the services to which routes of different priority lead.
func rankedServices(rules *schema.Traffic) map[figbank.ServiceName]bool {
	ranked := map[figbank.ServiceName]bool{}
	priorities := map[figbank.ServiceName]int64{}
	for _, route := range rules.GetRoutes() {
		for _, share := range route.GetShares() {
			service := figbank.ServiceName(share.GetService())
			first, found := priorities[service]
			if !found {
				priorities[service] = route.GetPriority()
				continue
			}
			ranked[service] = ranked[service] || first != route.GetPriority()
		}
	}
	return ranked
}

func newRoute(rule *schema.Route) *Route {
	route := &Route{
		Route:         rule,
		Timeout:       time.Duration(rule.GetTimeoutMilliseconds()) * time.Millisecond,
		LatencyTarget: time.Duration(rule.GetTargetMilliseconds()) * time.Millisecond,
		GapTarget:     time.Duration(rule.GetTargetGapMilliseconds()) * time.Millisecond,
	}
	for _, share := range rule.GetShares() {
		route.totalWeight += uint64(max(0, share.GetWeight()))
	}
	return route
}

// Number returns the number that operators gave to the rules.
func (t *Table) Number() int64 {
	return t.rules.GetNumber()
}

// MaxBody returns the largest request body that callers may send, 0 for no limit.
func (t *Table) MaxBody() figbank.Bytes {
	return t.maxBody
}

// CallerLimits returns the limits of what callers may send, nil when the rules have none.
func (t *Table) CallerLimits() *schema.CallerLimits {
	return t.rules.GetLimits()
}

// RequiresKeys reports whether routes that are not public need a key.
func (t *Table) RequiresKeys() bool {
	return t.rules.GetRequiresKeys()
}

// Route returns the host's route with the longest path prefix that matches the path, or
// nil.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.routes[host] {
		if strings.HasPrefix(path, route.GetPathPrefix()) {
			return route
		}
	}
	return nil
}

// Workspace returns the holder of a key, or nil.
func (t *Table) Workspace(key string) *Workspace {
	return t.keys[key]
}

// Service returns a service that routes may name, or nil.
func (t *Table) Service(name figbank.ServiceName) *schema.RoutedService {
	return t.services[name]
}

// Ranked reports whether routes of different priority lead to a service. Urgency counts only there.
func (t *Table) Ranked(name figbank.ServiceName) bool {
	return t.ranked[name]
}

// RankedServices lists the services for which Ranked is true.
func (t *Table) RankedServices() []string {
	var names []string
	for name, ranked := range t.ranked {
		if ranked {
			names = append(names, string(name))
		}
	}
	slices.Sort(names)
	return names
}

// Services lists all services.
func (t *Table) Services() []*schema.RoutedService {
	return t.rules.GetServices()
}

// Service chooses one of the route's services by weight. Draw is a random number,
// uniformly distributed over all of uint64. The result is empty if the weights add up to 0,
// which Check does not accept.
func (r *Route) Service(draw uint64) figbank.ServiceName {
	point := draw % max(1, r.totalWeight)
	for _, share := range r.GetShares() {
		weight := uint64(max(0, share.GetWeight()))
		if point < weight {
			return figbank.ServiceName(share.GetService())
		}
		point -= weight
	}
	return ""
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.GetKind() == schema.CallKind_CALL_KIND_SAFE || r.Streamed() && r.GetResumable()
}

// Streamed reports whether the route's answers are event streams.
func (r *Route) Streamed() bool {
	return r.GetKind() == schema.CallKind_CALL_KIND_STREAM
}

// AllowedRegions returns the regions in which both the route and the workspace allow a request to
// run. Restricted is false when neither limits the regions; when it is true, an empty list
// allows no region. Workspace may be nil.
func AllowedRegions(route *Route, workspace *Workspace) (regions []string, restricted bool) {
	regions = route.GetHomeRegions()
	if workspace == nil || len(workspace.HomeRegions) == 0 {
		return regions, len(regions) > 0
	}
	if len(regions) == 0 {
		return workspace.HomeRegions, true
	}
	both := slices.DeleteFunc(slices.Clone(regions), func(region string) bool {
		return !slices.Contains(workspace.HomeRegions, region)
	})
	return both, true
}
