// Package measure runs real gateways and agents in virtual time, with an in-memory network
// and in-memory back ends, and checks figures such as latency, buffered bytes and lost
// requests against bounds. Its functions must be called inside a testing/synctest bubble.
package measure

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/agent"
	"figbank/clock"
	"figbank/configuration"
	"figbank/deployment"
	"figbank/exchange"
	"figbank/fake"
	"figbank/gateway"
	"figbank/relay"
	"figbank/routing"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transfer"
	"figbank/transport"
)

const (
	// sameDomainDelay is the one-way network delay inside a failure domain.
	sameDomainDelay = 200 * time.Microsecond
	// otherDomainDelay is the one-way network delay between failure domains.
	otherDomainDelay = 3 * time.Millisecond
	upstreamLease    = 3 * time.Second
	announceInterval = time.Second
	pollInterval     = 250 * time.Millisecond
	deadline         = 30 * time.Second
	maxBody          = 1 << 20
	queueLength      = 512
	retryShare       = 20
	manifest         = "v1"
	timelineEvents   = 16
)

type (
	// Policy holds the settings that a measure or its baseline can vary.
	Policy struct {
		StreamWindow     figbank.Bytes
		MaxBufferedBytes figbank.Bytes
		QueueAge         time.Duration
		// FixedLimit makes agents admit calls up to the full capacity as soon as the engine starts.
		FixedLimit bool
	}

	// Cluster is a running deployment in virtual time.
	Cluster struct {
		Deployment  *deployment.Deployment
		Network     *fake.Network
		Log         *fake.Proposer
		Gateways    []*Gateway
		Upstreams   []*Upstream
		BookingRuns *fake.RunCounter
		policy      Policy
		// isolated is true for each domain that cannot reach any other domain. A replica in such
		// a domain gets no configurations until the domain is reconnected.
		isolated map[figbank.FailureDomain]bool
		// keys maps the hash of each caller key to its workspace; see callerKeys.
		keys map[string]figbank.Workspace
	}

	// Gateway is a gateway of a Cluster.
	Gateway struct {
		cluster *Cluster
		id      string
		domain  deployment.Domain
		address figbank.Address
		// replica is set for gateways that also run a replica of the log. A new configuration is
		// given to them, and the other gateways receive it from them.
		replica bool
		peers   []figbank.Address
		process atomic.Pointer[gatewayProcess]
	}

	// gatewayProcess is the state of a gateway between one start and the next stop.
	gatewayProcess struct {
		holder   *configuration.Holder
		pool     *transport.Pool
		exchange *exchange.Exchange
		gateway  *gateway.Gateway
		server   *transport.Server
		// ctx is the context of the callers' requests. It is canceled when the process stops.
		ctx    context.Context //nolint:containedctx // lives as long as the process
		cancel context.CancelFunc
	}

	// Upstream is a back end with its agent.
	Upstream struct {
		cluster  *Cluster
		id       string
		service  deployment.Service
		domain   deployment.Domain
		address  figbank.Address
		gateways []figbank.Address
		Engine   *Engine
		holder   *configuration.Holder
		pool     *transport.Pool
		agent    *agent.Agent
		server   *transport.Server
	}
)

// DefaultPolicy returns the policy that the measures check against their bounds.
func DefaultPolicy() Policy {
	return Policy{StreamWindow: 32 << 10, MaxBufferedBytes: 64 << 20, QueueAge: 5 * time.Second}
}

// NewCluster starts a deployment, publishes its services and waits until the configuration has
// spread.
func NewCluster(d *deployment.Deployment, policy Policy) *Cluster {
	cluster := &Cluster{
		Deployment: d, Network: fake.NewNetwork(clock.System{}, sameDomainDelay, otherDomainDelay),
		Log: fake.NewProposer(clock.System{}), BookingRuns: fake.NewRunCounter(), policy: policy, keys: callerKeys(d),
		isolated: map[figbank.FailureDomain]bool{},
	}
	for _, domain := range d.Domains {
		for i := range domain.Gateways {
			id := fmt.Sprintf("gateway-%d", i)
			address := figbank.Address(string(domain.Name) + "/" + id)
			cluster.Gateways = append(cluster.Gateways, &Gateway{cluster: cluster, id: string(address), domain: domain, address: address, replica: i == 0})
		}
	}
	for _, g := range cluster.Gateways {
		for _, other := range cluster.Gateways {
			if other != g {
				g.peers = append(g.peers, other.address)
			}
		}
		g.Start()
	}
	for _, service := range d.Services {
		for i, domain := range d.Domains {
			for n := range service.Upstreams[i] {
				cluster.addUpstream(service, domain, n)
			}
		}
	}
	cluster.Publish(cluster.services()...)
	sleep(settleTime)
	return cluster
}

// settleTime is enough for announcements and configuration to reach all processes.
const settleTime = 3 * time.Second

// SetIsolated partitions a domain from all others, or reconnects it. A reconnected domain still
// cannot reach domains that are isolated themselves. On reconnection, SetIsolated gives the
// replica of the domain the current configuration, because a Cluster does not replicate its log.
func (c *Cluster) SetIsolated(domain figbank.FailureDomain, isolated bool) {
	c.isolated[domain] = isolated
	for _, other := range c.Deployment.Domains {
		if other.Name != domain {
			c.Network.SetPartitioned(string(domain), string(other.Name), isolated || c.isolated[other.Name])
		}
	}
	for _, g := range c.Gateways {
		if g.replica && g.domain.Name == domain && !isolated {
			g.process.Load().holder.Offer(c.Log.Configuration())
		}
	}
}

// Close stops all agents and gateways.
func (c *Cluster) Close() {
	for _, u := range c.Upstreams {
		u.Stop()
	}
	for _, g := range c.Gateways {
		g.Stop()
	}
}

// Publish commits declarations and offers the new configuration to the replicas that are not
// isolated. It reports whether the log accepted the declarations.
func (c *Cluster) Publish(declarations ...*schema.Declaration) bool {
	offer := &schema.Publish{Declarations: declarations}
	result, err := c.Log.Propose(context.Background(), &schema.Command{Action: &schema.Command_Publish{Publish: offer}})
	if err != nil || result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		return false
	}
	for _, g := range c.Gateways {
		if g.replica && !c.isolated[g.domain.Name] {
			g.process.Load().holder.Offer(c.Log.Configuration())
		}
	}
	return true
}

// DeclareDomain takes a failure domain out of service (state "Out") or brings it back ("In"),
// and reports whether the log accepted the declaration. Each declaration of a domain needs a
// higher revision than the one before.
func (c *Cluster) DeclareDomain(domain figbank.FailureDomain, revision int64, state string) bool {
	return c.Publish(&schema.Declaration{Subject: &schema.Declaration_FailureDomain{FailureDomain: &schema.FailureDomainDeclaration{
		Name: string(domain), Revision: revision, State: state,
	}}})
}

// services returns the declarations of all services of the deployment.
func (c *Cluster) services() []*schema.Declaration {
	var declarations []*schema.Declaration
	for _, service := range c.Deployment.Services {
		declared := &schema.ServiceDeclaration{
			Name: string(service.Name), Revision: 1, Kind: "Plain", Workspaces: []string{"*"}, Repeatable: service.Repeatable,
		}
		if service.Model {
			declared.Kind, declared.Manifest = "Model", manifest
		}
		for i, domain := range c.Deployment.Domains {
			if service.Upstreams[i] > 0 {
				declared.FailureDomains = append(declared.FailureDomains, string(domain.Name))
			}
		}
		declarations = append(declarations, &schema.Declaration{Subject: &schema.Declaration_Service{Service: declared}})
	}
	return declarations
}

func (c *Cluster) addUpstream(service deployment.Service, domain deployment.Domain, n int) {
	id := fmt.Sprintf("%s/%s-%d", domain.Name, service.Name, n)
	u := &Upstream{cluster: c, id: id, service: service, domain: domain, address: figbank.Address(id)}
	for _, g := range c.Gateways {
		if g.domain.Name == domain.Name {
			u.gateways = append(u.gateways, g.address)
		}
	}
	u.Engine = NewEngine(service, c.BookingRuns)
	c.Upstreams = append(c.Upstreams, u)
	u.Start()
}

// newCommon returns the common dependencies of a process that does not log or send metrics.
func newCommon(id string) figbank.Common {
	process := figbank.ProcessID(id)
	return figbank.Common{
		Process: process, Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(process, clock.System{}, timelineEvents),
	}
}

// Start starts the gateway without any state of an earlier process. If the gateway runs a
// replica and its domain is not isolated, it gets the committed configuration at once.
func (g *Gateway) Start() {
	cluster, common := g.cluster, newCommon(g.id)
	p := &gatewayProcess{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.holder = configuration.NewHolder(common.Recorder)
	if g.replica && !cluster.isolated[g.domain.Name] {
		p.holder.Offer(cluster.Log.Configuration())
	}
	p.pool = transport.NewPool(common, transport.WithDialer(cluster.Network.Dialer(g.address)))
	p.gateway = gateway.New(common, gateway.Settings{
		Relay: relay.Settings{
			Location:     routing.Location{Region: g.domain.Region, FailureDomain: g.domain.Name},
			StreamWindow: cluster.policy.StreamWindow, QueueLength: queueLength, QueueAge: cluster.policy.QueueAge,
			Deadline: deadline, RetryShare: retryShare,
		},
		MaxBody: maxBody, MaxBufferedBytes: cluster.policy.MaxBufferedBytes, CallerKeys: cluster.keys,
	}, p.holder, p.pool, cluster.Log, func() bool { return p.exchange.CaughtUp() })
	p.exchange = exchange.New(common, g.domain.Name, upstreamLease, p.holder, p.pool, g.peers,
		exchange.WithChangeHandler(p.gateway.Relay().SetUpstreams), exchange.WithAnnouncementHandler(p.gateway.Relay().UpdateLoad))
	p.server = transport.NewServer(common, cluster.Network.Listen(g.address), transport.Handlers{
		schema.StreamKind_STREAM_KIND_EXCHANGE: p.exchange.ServeExchange,
		schema.StreamKind_STREAM_KIND_ANNOUNCE: p.exchange.ServeAnnounce,
	})
	g.process.Store(p)
}

// Stop stops the gateway immediately and closes its connections.
func (g *Gateway) Stop() {
	p := g.process.Load()
	p.cancel()
	g.cluster.Network.Kill(g.address)
	p.exchange.Close()
	p.server.Close()
	p.gateway.Close()
	p.pool.Close()
}

// Ready reports whether the gateway runs and accepts callers.
func (g *Gateway) Ready() bool {
	p := g.process.Load()
	return p.ctx.Err() == nil && p.gateway.Ready()
}

// Start starts the agent without any state of an earlier process. The engine keeps running.
func (u *Upstream) Start() {
	cluster, common := u.cluster, newCommon(u.id)
	u.holder = configuration.NewHolder(common.Recorder)
	u.pool = transport.NewPool(common, transport.WithDialer(cluster.Network.Dialer(u.address)))
	capacity := figbank.Cost(u.service.Capacity)
	first := figbank.Cost(coldCapacity)
	if cluster.policy.FixedLimit {
		first = capacity
	}
	u.agent = agent.New(common, agent.Settings{
		Service: u.service.Name, Plain: true, Address: u.address, Capacity: capacity, FirstLimit: first,
		Gateways: u.gateways, AnnounceInterval: announceInterval, PollInterval: pollInterval,
	}, agent.Location{Region: u.domain.Region, FailureDomain: u.domain.Name},
		u.Engine, u.holder, u.pool, agent.Weights{Active: &transfer.Active{}}, agent.NewPeers())
	u.server = transport.NewServer(common, cluster.Network.Listen(u.address), transport.Handlers{
		schema.StreamKind_STREAM_KIND_CALL: u.agent.ServeCall,
	})
}

// Stop stops the agent immediately and closes its connections. The engine keeps running.
func (u *Upstream) Stop() {
	u.cluster.Network.Kill(u.address)
	u.agent.Close()
	u.server.Close()
	u.pool.Close()
}
