// Package agent is the upstream's side: it announces its upstream, enforces the
// upstream's limit, brings weights, and is the only one to give its engine orders.
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
	// Settings of an agent.
	Settings struct {
		Service          figbank.ServiceName
		Plain            bool
		Address          figbank.Address
		Capacity         figbank.Cost
		FirstLimit       figbank.Cost
		ChecksFencing    bool
		Gateways         []figbank.Address
		AnnounceInterval time.Duration
		PollInterval     time.Duration
		VersionsKept     int
	}

	// Place is where the agent's host stands.
	Place struct {
		Region        figbank.Region
		FailureDomain figbank.FailureDomain
	}

	// Weights are the parts that bring weights; a plain service's agent has none.
	Weights struct {
		Store   *weights.Store
		Fetcher *transfer.Fetcher
		Active  *transfer.Active
	}

	// Agent is one upstream's agent. It is safe for concurrent use.
	Agent struct {
		common   figbank.Common
		settings Settings
		service  figbank.ServiceName
		place    Place
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
		// lives counts the times that the engine came back after not answering, for
		// services that tell no incarnation.
		lives   atomic.Int64
		leaving atomic.Bool
		changed *signal
		// grown tells at once that the limit has risen; that is rare, and work waits
		// for it.
		grown *signal
		// doubt asks the monitor to poll at once.
		doubt chan struct{}
		// ready is closed once a gateway has told its configuration: before that, this
		// process may not know the newest declaration and gives no order.
		ready    chan struct{}
		caughtUp sync.Once

		cancel context.CancelFunc
		group  sync.WaitGroup
	}

	// Peers is the list of agents that fetch the same weights. It is safe for
	// concurrent use.
	Peers struct {
		mu      sync.Mutex
		list    []swarm.Peer
		changed chan struct{}
	}
)

// New starts an agent.
func New(common figbank.Common, settings Settings, place Place, engine figbank.Engine,
	holder *configuration.Holder, pool *transport.Pool, w Weights, peers *Peers,
) *Agent {
	common = common.For("agent")
	a := &Agent{
		common: common, settings: settings, service: settings.Service, place: place,
		engine: engine, holder: holder, pool: pool, weights: w, peers: peers,
		gate:    newGate(),
		limiter: admission.NewLimiter(settings.FirstLimit, settings.Capacity),
		started: common.Clock.Now(),
		changed: newSignal(),
		grown:   newSignal(),
		doubt:   make(chan struct{}, 1),
		ready:   make(chan struct{}),
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
		a.group.Go(func() { a.followDeclaration(ctx) })
	}
	return a
}

// Leave announces that the upstream takes no new work and waits for what runs.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	_, manifest := a.gate.current()
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_LEAVING, manifest)
	a.changed.raise()
	return a.gate.awaitIdle(ctx)
}

// Close stops the agent.
func (a *Agent) Close() {
	a.cancel()
	a.group.Wait()
}

// Record is the upstream's present announcement.
func (a *Agent) Record() *schema.Upstream {
	state, manifest := a.gate.current()
	limit, inUse := a.limiter.Usage()
	record := &schema.Upstream{
		Id: string(a.common.Process), Service: string(a.service),
		Region: string(a.place.Region), FailureDomain: string(a.place.FailureDomain),
		Address: string(a.settings.Address), Incarnation: string(a.incarnation()),
		AgentStartUnixNano: a.started.UnixNano(), Sequence: a.sequence.Add(1),
		State: state, Manifest: manifest, ChecksFencing: a.settings.ChecksFencing,
		Capacity: int64(a.settings.Capacity), Limit: int64(limit), InUse: int64(inUse),
		ConfigIndex: uint64(a.holder.Index()),
	}
	a.addProgress(record)
	return record
}

func (a *Agent) addProgress(record *schema.Upstream) {
	if a.settings.Plain {
		return
	}
	declared := configuration.Declared(a.holder.Current(), a.service)
	if a.weights.Store.Whole(figbank.ManifestDigest(declared.GetManifest())) != nil {
		record.WholeManifest = declared.GetManifest()
	}
	held, total := a.weights.Active.Progress()
	record.ChunksWhole, record.ChunksTotal = int64(held), int64(total)
}

func (a *Agent) incarnation() figbank.Incarnation {
	return incarnationOf(a.status.Load(), a.lives.Load())
}

// incarnationOf is what the engine tells, or for a service that tells none, the
// number of times that it came back.
func incarnationOf(status *schema.EngineStatus, lives int64) figbank.Incarnation {
	if told := status.GetIncarnation(); told != "" {
		return figbank.Incarnation(told)
	}
	return figbank.Incarnation("life " + strconv.FormatInt(lives, 10))
}

func (a *Agent) event(name, request, detail string) {
	a.common.Recorder.Record(&schema.Event{Part: "agent", Name: name, RequestId: request, Upstream: string(a.common.Process), Detail: detail})
}

// NewPeers returns an empty list.
func NewPeers() *Peers {
	return &Peers{changed: make(chan struct{})}
}

// List returns the present list and a channel that is closed when it changes.
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
