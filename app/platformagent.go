package app

import (
	"context"
	"os"

	"figbank"
	"figbank/clock"
	"figbank/feed"
	"figbank/platform"
	"figbank/schema"
	"figbank/settings"
	"figbank/staging"
	"figbank/swarm"
	"figbank/timeline"
	"figbank/transfer"
	"figbank/transport"
	"figbank/upstream"
	"figbank/weights"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// temporaryFolderPattern is the name pattern of the temporary folder for weights.
const temporaryFolderPattern = "figbank-weights-*"

// NewPlatformAgent returns the application that runs an agent on a platform.
func NewPlatformAgent(s *schema.PlatformSettings, file SettingsFile, options ...fx.Option) *fx.App {
	return fx.New(
		platformOptions(s, schema.MemberRole_MEMBER_ROLE_AGENT),
		fx.Supply(file, &transfer.Active{}, staging.NewLists()),
		fx.Provide(newAgentPool, newTemporaryStore, newLink),
		fx.Invoke(watchSettings, serveWeights, runStager),
		fx.Options(options...),
	)
}

func newAgentPool(lifecycle fx.Lifecycle, common figbank.Common) *upstream.Pool {
	return newUpstreamPool(lifecycle, common)
}

func newLink(common figbank.Common, s *schema.PlatformSettings) *transfer.Link {
	return transfer.NewLink(common.Clock, settings.WeightBandwidth(s.GetWeights()))
}

// newTemporaryStore opens a store in a new temporary folder, which is removed when the
// process stops. The store does not sync its files, as they need not survive a crash.
func newTemporaryStore(lifecycle fx.Lifecycle, common figbank.Common) (*weights.Store, error) {
	folder, err := os.MkdirTemp("", temporaryFolderPattern)
	if err != nil {
		return nil, figbank.WrapError("app", "PieceStore", err)
	}
	lifecycle.Append(fx.StopHook(func() {
		if err := os.RemoveAll(folder); err != nil {
			common.Log.Info("agent: cannot remove the folder of weights", figbank.ErrorField(err))
		}
	}))
	return weights.OpenStore(folder, weights.WithoutSync())
}

// serveWeights serves the chunks that this agent holds to other agents.
func serveWeights(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, store *weights.Store,
	active *transfer.Active, link *transfer.Link, lists *staging.Lists, recorder *timeline.Recorder, meter *transport.Meter,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	chunkServer := transfer.NewServer(common, store, active, int(s.GetWeights().GetChunksServed()),
		transfer.WithSendRate(settings.WeightBandwidth(s.GetWeights())), transfer.WithLink(link))
	server := transport.NewServer(common, listener, transport.Handlers{
		schema.StreamKind_STREAM_KIND_HAVE:     chunkServer.ServeHave,
		schema.StreamKind_STREAM_KIND_CHUNK:    chunkServer.ServeChunk,
		schema.StreamKind_STREAM_KIND_MANIFEST: chunkServer.ServeManifest,
		schema.StreamKind_STREAM_KIND_DIGESTS:  lists.Serve,
		schema.StreamKind_STREAM_KIND_INSPECT:  recorder.Serve,
	}, transport.WithMeter(meter))
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

// runStager runs the part that fetches weights and switches the engine to them.
func runStager(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, view *feed.View,
	subscriber *feed.Subscriber, pool *transport.Pool, connections *upstream.Pool, store *weights.Store, active *transfer.Active, link *transfer.Link, lists *staging.Lists,
) {
	member := memberOf(s, schema.MemberRole_MEMBER_ROLE_AGENT)
	w := s.GetWeights()
	newFetcher := func(origin transfer.Origin, peers func() ([]swarm.Peer, <-chan struct{})) *transfer.Fetcher {
		return transfer.NewFetcher(common, transfer.Settings{
			Self: swarm.Peer{
				ID: figbank.ProcessID(member.GetId()), Address: figbank.Address(member.GetAddress()),
				Region: figbank.Region(member.GetRegion()), FailureDomain: figbank.FailureDomain(member.GetFailureDomain()),
			},
			MaxInFlight: int(w.GetChunksInFlight()), StallTime: w.GetStallTime().AsDuration(),
			OriginDelay: w.GetOriginDelay().AsDuration(), OneCopy: w.GetOneCopy(), Rate: settings.WeightBandwidth(w), Link: link,
		}, store, active, pool, origin, peers)
	}
	stager := staging.New(common, staging.Settings{
		Member: member, Service: figbank.ServiceName(s.GetNode().GetService()),
		VersionTime: s.GetBounds().GetVersionTime().AsDuration(), Bandwidth: settings.WeightBandwidth(w), Boot: clock.System{},
		Lists: lists, AskLister: func(ctx context.Context, address figbank.Address, request *schema.DigestsRequest) (*schema.DigestsAnswer, error) {
			answer := &schema.DigestsAnswer{}
			_, err := pool.Call(ctx, address, schema.StreamKind_STREAM_KIND_DIGESTS, request, answer)
			return answer, err
		},
	}, platform.NewEngine(connections, figbank.Address(s.GetNode().GetUpstream())), platform.NewOrigin(connections),
		view, subscriber, store, active, newFetcher)
	ctx, cancel := context.WithCancel(context.Background())
	go stager.Run(ctx)
	common.Log.Info("agent: started", zap.String("engine", member.GetUpstream()), zap.String("service", member.GetService()))
	lifecycle.Append(fx.StopHook(func() {
		cancel()
		common.Log.Info("agent: stopped")
	}))
}
