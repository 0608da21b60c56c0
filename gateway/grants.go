package gateway

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// ServeGrant asks the log, for an agent of this failure domain, whether its
// upstream may leave service now.
func (g *Gateway) ServeGrant(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.GrantRequest{}
	if err := stream.Receive(request); err != nil {
		return
	}
	result, err := g.proposer.Propose(ctx, g.grantCommand(request))
	if err != nil {
		_ = stream.Send(&schema.GrantAnswer{Detail: err.Error()})
		return
	}
	granted := result.GetRefusal() == schema.Refusal_REFUSAL_NONE
	_ = stream.Send(&schema.GrantAnswer{Granted: granted, Detail: result.GetDetail()})
}

func (g *Gateway) grantCommand(request *schema.GrantRequest) *schema.Command {
	if request.GetRelease() {
		release := &schema.Release{Service: request.GetService(), Upstream: request.GetUpstream()}
		return &schema.Command{Action: &schema.Command_Release{Release: release}}
	}
	domain := figbank.FailureDomain(request.GetFailureDomain())
	inDomain, inAll := g.Warm(figbank.ServiceName(request.GetService()), domain)
	return &schema.Command{Action: &schema.Command_Grant{Grant: &schema.Grant{
		Service: request.GetService(), FailureDomain: request.GetFailureDomain(),
		Upstream: request.GetUpstream(), Manifest: request.GetManifest(),
		WarmInDomain: inDomain, WarmInAll: inAll,
	}}}
}
