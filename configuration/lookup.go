package configuration

import (
	"slices"

	"figbank"
	"figbank/schema"
)

// anyWorkspace stands for every workspace in a service's declaration.
const anyWorkspace = "*"

// Service returns the service of that name, or nil if the configuration has none.
func Service(c *schema.Configuration, name figbank.ServiceName) *schema.ServiceInForce {
	for _, service := range c.GetServices() {
		if service.GetCurrent().GetDeclaration().GetService().GetName() == string(name) {
			return service
		}
	}
	return nil
}

// Declaration returns the current declaration of a service, or nil if there is none.
func Declaration(c *schema.Configuration, name figbank.ServiceName) *schema.ServiceDeclaration {
	return Service(c, name).GetCurrent().GetDeclaration().GetService()
}

// IsDomainOut reports whether operators have taken a failure domain out of service.
func IsDomainOut(c *schema.Configuration, domain figbank.FailureDomain) bool {
	for _, accepted := range c.GetFailureDomains() {
		declared := accepted.GetDeclaration().GetFailureDomain()
		if declared.GetName() == string(domain) {
			return declared.GetState() == "Out"
		}
	}
	return false
}

// Allows reports whether a workspace may call a service.
func Allows(service *schema.ServiceDeclaration, workspace figbank.Workspace) bool {
	return slices.Contains(service.GetWorkspaces(), anyWorkspace) ||
		slices.Contains(service.GetWorkspaces(), string(workspace))
}

// RunsIn reports whether upstreams in a failure domain may run a service.
func RunsIn(service *schema.ServiceDeclaration, domain figbank.FailureDomain) bool {
	return slices.Contains(service.GetFailureDomains(), string(domain))
}

// AcceptsManifest reports whether upstreams with the weights of this manifest may answer
// requests. The manifest must be that of the current declaration or of a previous one that
// the service still lists, since a rollout may not have reached all upstreams yet.
func AcceptsManifest(service *schema.ServiceInForce, manifest string) bool {
	if service.GetCurrent().GetDeclaration().GetService().GetManifest() == manifest {
		return true
	}
	return slices.ContainsFunc(service.GetPrevious(), func(d *schema.ServiceDeclaration) bool {
		return d.GetManifest() == manifest
	})
}
