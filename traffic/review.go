package traffic

import (
	"fmt"
	"slices"
	"strings"

	"figbank/schema"
)

// Finding is something in valid rules that has no effect, or contradicts something else.
type Finding struct {
	// Subject names the route, service or workspace.
	Subject string
	Detail  string
}

// Review returns what is odd in rules that Check accepts, in the order in which the rules list it.
func Review(rules *schema.Traffic) []Finding {
	r := &review{rules: rules, used: map[string]bool{}}
	for _, route := range rules.GetRoutes() {
		r.route(route)
	}
	for _, service := range rules.GetServices() {
		if !r.used[service.GetName()] && service.GetOrigin() == "" {
			r.add("service "+service.GetName(), "no route leads to it")
		}
	}
	for _, workspace := range rules.GetWorkspaces() {
		r.workspace(workspace)
	}
	r.limits()
	return r.findings
}

// review collects findings.
type review struct {
	rules    *schema.Traffic
	used     map[string]bool
	findings []Finding
}

func (r *review) add(subject, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{Subject: subject, Detail: fmt.Sprintf(format, arguments...)})
}

func (r *review) route(route *schema.Route) {
	subject := "route " + route.GetName()
	if !strings.HasPrefix(route.GetPathPrefix(), "/") {
		r.add(subject, "never matches: the path of a request begins with a slash, the prefix %q does not", route.GetPathPrefix())
	}
	if strings.ContainsAny(route.GetHost(), "/ ") || strings.ToLower(route.GetHost()) != route.GetHost() {
		r.add(subject, "hardly matches: callers would have to send the host %q as it is spelled", route.GetHost())
	}
	for _, share := range route.GetShares() {
		if share.GetWeight() == 0 {
			r.add(subject, "the weight of service %s is 0: it gets nothing", share.GetService())
			continue
		}
		r.used[share.GetService()] = true
	}
	r.promises(subject, route)
	r.homes(route)
}

// promises finds limits of a route that contradict each other.
func (r *review) promises(subject string, route *schema.Route) {
	streamed := route.GetKind() == schema.CallKind_CALL_KIND_STREAM
	switch {
	case route.GetTargetMilliseconds() > route.GetTimeoutMilliseconds():
		r.add(subject, "the objective of %d ms is above the timeout of %d ms", route.GetTargetMilliseconds(), route.GetTimeoutMilliseconds())
	case route.GetTargetMilliseconds() <= 0:
		r.add(subject, "has no objective: each answer counts as late")
	}
	if !streamed && (route.GetResumable() || route.GetTargetGapMilliseconds() > 0) {
		r.add(subject, "only streams can be resumed or have pauses")
	}
	once := route.GetKind() == schema.CallKind_CALL_KIND_UNSAFE || streamed && !route.GetResumable()
	if once && route.GetMaxUpstreams() > 1 {
		r.add(subject, "%d attempts are allowed, but its requests may run at most once", route.GetMaxUpstreams())
	}
}

// homes finds workspaces that may not use a route anywhere.
func (r *review) homes(route *schema.Route) {
	for _, workspace := range r.rules.GetWorkspaces() {
		holder := &Workspace{HomeRegions: workspace.GetHomeRegions()}
		if regions, restricted := AllowedRegions(&Route{Route: route}, holder); restricted && len(regions) == 0 {
			r.add("route "+route.GetName(), "workspace %s can never use it: they have no home region in common", workspace.GetName())
		}
	}
}

func (r *review) workspace(workspace *schema.WorkspaceKeys) {
	keys := slices.DeleteFunc(slices.Clone(workspace.GetKeys()), func(key string) bool { return key == "" })
	if len(keys) == 0 {
		r.add("workspace "+workspace.GetName(), "has no key: nobody can call for it")
	}
	if len(keys) < len(workspace.GetKeys()) {
		r.add("workspace "+workspace.GetName(), "an empty key is never accepted")
	}
}

func (r *review) limits() {
	limits := r.rules.GetLimits()
	if header, idle := limits.GetHeaderTimeoutMilliseconds(), limits.GetIdleTimeoutMilliseconds(); header > 0 && idle > 0 && header > idle {
		r.add("limits", "a head may take %d ms, but a connection is closed after %d ms without a request", header, idle)
	}
}
