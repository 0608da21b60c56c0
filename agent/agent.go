// Package agent runs on the host of an upstream. It announces the upstream to the gateways, limits
// the calls that run on it, and fetches its weights. It is the only sender of orders to the engine.
package agent

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/admission"
	"figbank/configuration"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transfer"
	"figbank/transport"
	"figbank/weights"
)

type (
	// Settings configures an agent.
	Settings struct {
		Service figbank.ServiceName
		// Plain is set for services without weights.
		Plain bool
		// Address is the agent's own address, to which gateways send calls.
		Address figbank.Address
		// Capacity is the maximum of the limit on the total cost of running calls.
		Capacity figbank.Cost
		// FirstLimit is the limit after a cold start, from which it increases to Capacity.
		FirstLimit figbank.Cost
		// ChecksFencing is set if the engine refuses orders with an outdated fencing number.
		ChecksFencing    bool
		Gateways         []figbank.Address
		AnnounceInterval time.Duration
		PollInterval     time.Duration
		// VersionsKept is how many complete versions stay on disk in addition to the declared one.
		VersionsKept int
	}

	// Location is the region and failure domain of the agent's host.
	Location struct {
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
	}

	// Weights holds what an agent needs to fetch and store weights. It is empty for plain services.
	Weights struct {
		Store   *weights.Store
		Fetcher *transfer.Fetcher
		Active  *transfer.Active
	}

	// Agent is the agent of one upstream. It is safe for concurrent use.
	Agent struct {
		common   figbank.Common
		settings Settings
		service  figbank.ServiceName
		location Location
		engine   figbank.Engine
		holder   *configuration.Holder
		pool     *transport.Pool
		weights  Weights
		peers    *Peers

		gate     *gate
		limiter  *admission.Limiter
		started  time.Time
		sequence atomic.Uint64
		status   atomic.Pointer[schema.EngineStatus]
		// outages counts how often the engine stopped answering. It replaces the incarnation
		// of an engine that reports none.
		outages atomic.Int64
		leaving atomic.Bool
		// changed is raised when the announced record or the configuration changes.
		changed *signal
		// limitRaised is raised when the limit has increased. Unlike other changes, an
		// increased limit is announced without delay, since it is rare and requests wait for
		// it.
		limitRaised *signal
		// pollRequested makes the monitor poll at once.
		pollRequested chan struct{}
		// gatewayAnswered is closed after the first answer of any gateway. That answer contains
		// the gateway's configuration if it is newer than the agent's. Until then, the agent
		// may not know the newest declaration, so it must not send orders.
		gatewayAnswered     chan struct{}
		gatewayAnsweredOnce sync.Once

		cancel context.CancelFunc
		group  sync.WaitGroup
	}

	// Peers is the list of agents that exchange the same weights. It is safe for concurrent
	// use.
	Peers struct {
		mu      sync.Mutex
		list    []swarm.Peer
		changed chan struct{}
	}
)

// New starts an agent. Close stops it.
func New(common figbank.Common, settings Settings, location Location, engine figbank.Engine,
	holder *configuration.Holder, pool *transport.Pool, w Weights, peers *Peers,
) *Agent {
	common = common.Named("agent")
	a := &Agent{
		common: common, settings: settings, service: settings.Service, location: location,
		engine: engine, holder: holder, pool: pool, weights: w, peers: peers,
		gate:            newGate(),
		limiter:         admission.NewLimiter(settings.FirstLimit, settings.Capacity),
		started:         common.Clock.Now(),
		changed:         newSignal(),
		limitRaised:     newSignal(),
		pollRequested:   make(chan struct{}, 1),
		gatewayAnswered: make(chan struct{}),
	}
	a.status.Store(&schema.EngineStatus{})
	holder.Watch(func(*schema.Configuration) { a.changed.raise() })
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.group.Go(func() { a.monitor(ctx) })
	for _, gateway := range settings.Gateways {
		a.group.Go(func() { a.announce(ctx, gateway) })
	}
	if !settings.Plain {
		a.group.Go(func() { a.reconcileLoop(ctx) })
	}
	return a
}

// Leave announces that the upstream accepts no new calls, and waits until the running calls have
// ended. It returns an error if ctx ends first.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	_, manifest := a.gate.current()
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_LEAVING, manifest)
	a.changed.raise()
	return a.gate.awaitIdle(ctx)
}

// Close stops the agent's goroutines and waits for them.
func (a *Agent) Close() {
	a.cancel()
	a.group.Wait()
}

// Record returns the upstream's current state for an announcement. The sequence number is higher
// than in all earlier records.
func (a *Agent) Record() *schema.Upstream {
	state, manifest := a.gate.current()
	limit, inUse := a.limiter.Usage()
	record := &schema.Upstream{
		Id: string(a.common.Process), Service: string(a.service),
		Region: string(a.location.Region), FailureDomain: string(a.location.FailureDomain),
		Address: string(a.settings.Address), Incarnation: string(a.incarnation()),
		AgentStartUnixNano: a.started.UnixNano(), Sequence: a.sequence.Add(1),
		State: state, Manifest: manifest, ChecksFencing: a.settings.ChecksFencing,
		Capacity: int64(a.settings.Capacity), Limit: int64(limit), InUse: int64(inUse),
		ConfigIndex: uint64(a.holder.Index()),
	}
	a.addProgress(record)
	return record
}

// addProgress adds to a record how much of the declared weights has been fetched. For plain
// services it adds nothing.
func (a *Agent) addProgress(record *schema.Upstream) {
	if a.settings.Plain {
		return
	}
	declared := configuration.Declaration(a.holder.Current(), a.service)
	if a.weights.Store.Version(figbank.ManifestDigest(declared.GetManifest())) != nil {
		record.WholeManifest = declared.GetManifest()
	}
	progress := a.weights.Active.Progress()
	record.ChunksWhole, record.ChunksTotal = int64(progress.Held), int64(progress.Total)
}

func (a *Agent) incarnation() figbank.Incarnation {
	return incarnationOf(a.status.Load(), a.outages.Load())
}

// incarnationOf returns the incarnation that the status reports. If it reports none,
// incarnationOf derives one from the number of outages.
func incarnationOf(status *schema.EngineStatus, outages int64) figbank.Incarnation {
	if reported := status.GetIncarnation(); reported != "" {
		return figbank.Incarnation(reported)
	}
	return figbank.Incarnation("life " + strconv.FormatInt(outages, 10))
}

func (a *Agent) event(name, request, detail string) {
	a.common.Recorder.Record(&schema.Event{Part: "agent", Name: name, RequestId: request, Upstream: string(a.common.Process), Detail: detail})
}

// NewPeers returns an empty list of peers.
func NewPeers() *Peers {
	return &Peers{changed: make(chan struct{})}
}

// List returns the current list and a channel that is closed at the next change.
func (p *Peers) List() ([]swarm.Peer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.changed
}

func (p *Peers) set(list *schema.PeerList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = make([]swarm.Peer, 0, len(list.GetPeers()))
	for _, peer := range list.GetPeers() {
		p.list = append(p.list, swarm.Peer{
			ID: figbank.ProcessID(peer.GetId()), Address: figbank.Address(peer.GetAddress()),
			Region: figbank.Region(peer.GetRegion()), FailureDomain: figbank.FailureDomain(peer.GetFailureDomain()),
		})
	}
	close(p.changed)
	p.changed = make(chan struct{})
}
