// Package grants asks the replicated log on behalf of agents whether their upstreams
// may leave service to switch their version.
package grants

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

type (
	// WarmCountFunc returns how many upstreams of a service are routable: inDomain counts those in
	// one failure domain, inAll those in all failure domains. It must be safe for concurrent use.
	WarmCountFunc func(service figbank.ServiceName, domain figbank.FailureDomain) (inDomain, inAll int64)

	// Grants answers the grant requests of agents. It is safe for concurrent use.
	Grants struct {
		proposer  figbank.Proposer
		countWarm WarmCountFunc
	}
)

// New returns a Grants that proposes commands through proposer.
func New(proposer figbank.Proposer, countWarm WarmCountFunc) *Grants {
	return &Grants{proposer: proposer, countWarm: countWarm}
}

// Serve proposes one request of an agent to the log: either to let its upstream leave
// service now, or to release its grant. If the proposal fails, the answer is that nothing
// was granted, although the command may still be committed.
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
	inDomain, inAll := g.countWarm(figbank.ServiceName(request.GetService()), domain)
	return &schema.Command{Action: &schema.Command_Grant{Grant: &schema.Grant{
		Service: request.GetService(), FailureDomain: request.GetFailureDomain(),
		Upstream: request.GetUpstream(), Manifest: request.GetManifest(),
		WarmInDomain: inDomain, WarmInAll: inAll,
	}}}
}
