package traffic

import (
	"fmt"

	"figbank"
	"figbank/schema"
)

// Check returns an error if the rules are invalid and must not be put into use.
func Check(rules *schema.Traffic) error {
	if err := checkNumbers(rules); err != nil {
		return err
	}
	services := map[string]bool{}
	for _, service := range rules.GetServices() {
		if service.GetName() == "" || services[service.GetName()] {
			return invalid("service %q has no name, or is listed twice", service.GetName())
		}
		services[service.GetName()] = true
	}
	prefixes := map[string]bool{}
	for _, route := range rules.GetRoutes() {
		if err := checkRoute(route, services); err != nil {
			return err
		}
		prefix := route.GetHost() + " " + route.GetPathPrefix()
		if prefixes[prefix] {
			return invalid("route %q shares its host and path prefix with another", route.GetName())
		}
		prefixes[prefix] = true
	}
	return checkKeys(rules.GetWorkspaces())
}

// checkNumbers returns an error if the number of the rules cannot be above one in force, or a limit is negative.
func checkNumbers(rules *schema.Traffic) error {
	limits := rules.GetLimits()
	switch {
	case rules.GetNumber() <= 0:
		return invalid("the number %d is not above 0", rules.GetNumber())
	case min(limits.GetMaxHeaderBytes(), limits.GetMaxBodyBytes(), limits.GetHeaderTimeoutMilliseconds(), limits.GetIdleTimeoutMilliseconds()) < 0:
		return invalid("a limit on callers is negative")
	}
	return nil
}

func checkRoute(route *schema.Route, services map[string]bool) error {
	var weight int64
	for _, share := range route.GetShares() {
		if !services[share.GetService()] {
			return invalid("route %q names the unknown service %q", route.GetName(), share.GetService())
		}
		if share.GetWeight() < 0 {
			return invalid("route %q has a negative weight", route.GetName())
		}
		weight += share.GetWeight()
	}
	switch {
	case weight == 0:
		return invalid("the weights of route %q add up to 0", route.GetName())
	case route.GetTimeoutMilliseconds() <= 0:
		return invalid("route %q has no timeout", route.GetName())
	case route.GetHost() == "" || route.GetPathPrefix() == "":
		return invalid("route %q has no host or no path prefix", route.GetName())
	case route.GetKind() == schema.CallKind_CALL_KIND_UNSPECIFIED:
		return invalid("route %q has an unknown kind", route.GetName())
	}
	return nil
}

// checkKeys returns an error if two workspaces share a key.
func checkKeys(workspaces []*schema.WorkspaceKeys) error {
	workspaceByKey := map[string]string{}
	for _, workspace := range workspaces {
		for _, key := range workspace.GetKeys() {
			holder, found := workspaceByKey[key]
			if found && holder != workspace.GetName() {
				return invalid("workspaces %q and %q share a key", holder, workspace.GetName())
			}
			workspaceByKey[key] = workspace.GetName()
		}
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return figbank.InvalidError{Subject: "traffic rules", Detail: fmt.Sprintf(format, arguments...)}
}
