package app

import (
	"context"
	"path/filepath"

	"figbank"
	"figbank/agent"
	"figbank/configuration"
	"figbank/disk"
	"figbank/engine"
	"figbank/origin"
	"figbank/schema"
	"figbank/settings"
	"figbank/swarm"
	"figbank/timeline"
	"figbank/transfer"
	"figbank/transport"
	"figbank/weights"

	"github.com/gofrs/flock"
	"go.uber.org/fx"
	"go.uber.org/zap"
)

const (
	weightsFolder = "Weights"
	lockName      = "Lock"
	kindPlain     = "Plain"
)

// NewAgent returns the application that runs an agent.
func NewAgent(s *schema.AgentSettings, options ...fx.Option) *fx.App {
	return fx.New(
		baseOptions(s.GetProcess()),
		fx.Supply(s),
		fx.Provide(newHolder, newPool, newWeights, agent.NewPeers),
		fx.Invoke(serveAgent),
		fx.Options(options...),
	)
}

// agentWeights holds the parts of an agent that transfer weights. It is empty if the agent's
// service is plain, since only models have weights.
type agentWeights struct {
	agent.Weights
	server *transfer.Server
}

// newWeights opens the store of weights and creates the parts that fetch and serve
// them.
func newWeights(lifecycle fx.Lifecycle, common figbank.Common, s *schema.AgentSettings, pool *transport.Pool, peers *agent.Peers) (agentWeights, error) {
	if s.GetUpstream().GetKind() == kindPlain {
		return agentWeights{}, nil
	}
	// The lock prevents a second agent with this data folder from also sending orders to
	// the engine.
	unlock, err := lockFolder(s.GetProcess().GetDataFolder())
	if err != nil {
		return agentWeights{}, err
	}
	lifecycle.Append(fx.StopHook(unlock))
	store, err := weights.OpenStore(filepath.Join(s.GetProcess().GetDataFolder(), weightsFolder))
	if err != nil {
		return agentWeights{}, err
	}
	w := s.GetWeights()
	active := &transfer.Active{}
	fetcher := transfer.NewFetcher(common, transfer.Settings{
		Self: swarm.Peer{
			ID: common.Process, Address: settings.ProcessAddress(s.GetProcess()),
			Region:        figbank.Region(s.GetProcess().GetRegion()),
			FailureDomain: figbank.FailureDomain(s.GetProcess().GetFailureDomain()),
		},
		MaxInFlight: int(w.GetChunksInFlight()), StallTime: w.GetStallTime().AsDuration(),
		SettleTime: w.GetSettleTime().AsDuration(), Rate: figbank.Bytes(w.GetReceiveRate()),
		OriginDelay: w.GetOriginDelay().AsDuration(), OneCopy: w.GetOneCopy(),
	}, store, active, pool, origin.NewClient(w.GetOrigin()), peers.List)
	return agentWeights{
		Weights: agent.Weights{Store: store, Fetcher: fetcher, Active: active},
		server:  transfer.NewServer(common, store, active, int(w.GetChunksServed())),
	}, nil
}

// serveAgent runs the agent and serves other processes until the application stops.
func serveAgent(lifecycle fx.Lifecycle, common figbank.Common, s *schema.AgentSettings, holder *configuration.Holder,
	pool *transport.Pool, w agentWeights, peers *agent.Peers, recorder *timeline.Recorder,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	a := agent.New(common, agentSettings(s), agent.Location{
		Region:        figbank.Region(s.GetProcess().GetRegion()),
		FailureDomain: figbank.FailureDomain(s.GetProcess().GetFailureDomain()),
	}, newEngine(s.GetUpstream()), holder, pool, w.Weights, peers)
	handlers := transport.Handlers{
		schema.StreamKind_STREAM_KIND_CALL:    a.ServeCall,
		schema.StreamKind_STREAM_KIND_INSPECT: recorder.Serve,
	}
	if w.server != nil {
		handlers[schema.StreamKind_STREAM_KIND_HAVE] = w.server.ServeHave
		handlers[schema.StreamKind_STREAM_KIND_CHUNK] = w.server.ServeChunk
		handlers[schema.StreamKind_STREAM_KIND_MANIFEST] = w.server.ServeManifest
	}
	server := transport.NewServer(common, listener, handlers)
	common.Log.Info("agent: serving", zap.String("processes", listener.Addr().String()))
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		common.Log.Info("agent: shutting down")
		err := a.Leave(ctx)
		a.Close()
		server.Close()
		return err
	}))
	return nil
}

func agentSettings(s *schema.AgentSettings) agent.Settings {
	u := s.GetUpstream()
	return agent.Settings{
		Service: figbank.ServiceName(u.GetService()), Plain: u.GetKind() == kindPlain,
		Address:  settings.ProcessAddress(s.GetProcess()),
		Capacity: figbank.Cost(u.GetCapacity()), FirstLimit: figbank.Cost(u.GetFirstLimit()),
		ChecksFencing: u.GetChecksFencing(), Gateways: addresses(u.GetGateways()),
		AnnounceInterval: u.GetAnnounceInterval().AsDuration(), PollInterval: u.GetPollInterval().AsDuration(),
		VersionsKept: int(s.GetWeights().GetVersionsKept()),
	}
}

func newEngine(u *schema.UpstreamSettings) figbank.Engine {
	if u.GetKind() == kindPlain {
		return engine.NewPlain(u.GetAddress())
	}
	return engine.NewModel(u.GetAddress())
}

// lockFolder locks a data folder, so that no second process can use it. The folder
// is created if it is missing.
func lockFolder(path string) (unlock func(), err error) {
	if _, err := disk.OpenFolder(path); err != nil {
		return nil, err
	}
	lock := flock.New(filepath.Join(path, lockName))
	locked, err := lock.TryLock()
	if err != nil {
		return nil, figbank.WrapError("app", "Lock", err, "folder", path)
	}
	if !locked {
		detail := path + " is in use by another process"
		return nil, figbank.WrapError("app", "Lock", figbank.InvalidError{Subject: "data folder", Detail: detail})
	}
	return func() { _ = lock.Unlock() }, nil
}
