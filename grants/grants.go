// Package grants asks the replicated log, for agents, whether their upstreams
// may leave service to switch version.
package grants

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

type (
	// Warm counts a service's routable upstreams, in one domain and in all.
	Warm func(service figbank.ServiceName, domain figbank.FailureDomain) (inDomain, inAll int64)

	// Grants is safe for concurrent use.
	Grants struct {
		proposer figbank.Proposer
		warm     Warm
	}
)

// New returns grants from the log that proposer reaches.
func New(proposer figbank.Proposer, warm Warm) *Grants {
	return &Grants{proposer: proposer, warm: warm}
}

// Serve asks the log, for an agent of this failure domain, whether its
// upstream may leave service now.
func (g *Grants) Serve(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.GrantRequest{}
	if err := stream.Receive(request); err != nil {
		return
	}
	result, err := g.proposer.Propose(ctx, g.command(request))
	if err != nil {
		_ = stream.Send(&schema.GrantAnswer{Detail: err.Error()})
		return
	}
	granted := result.GetRefusal() == schema.Refusal_REFUSAL_NONE
	_ = stream.Send(&schema.GrantAnswer{Granted: granted, Detail: result.GetDetail()})
}

func (g *Grants) command(request *schema.GrantRequest) *schema.Command {
	if request.GetRelease() {
		release := &schema.Release{Service: request.GetService(), Upstream: request.GetUpstream()}
		return &schema.Command{Action: &schema.Command_Release{Release: release}}
	}
	domain := figbank.FailureDomain(request.GetFailureDomain())
	inDomain, inAll := g.warm(figbank.ServiceName(request.GetService()), domain)
	return &schema.Command{Action: &schema.Command_Grant{Grant: &schema.Grant{
		Service: request.GetService(), FailureDomain: request.GetFailureDomain(),
		Upstream: request.GetUpstream(), Manifest: request.GetManifest(),
		WarmInDomain: inDomain, WarmInAll: inAll,
	}}}
}
