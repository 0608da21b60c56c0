package staging

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/feed"
	"figbank/registry"
	"figbank/rollout"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transfer"
	"figbank/weights"

	"go.uber.org/zap"
)

const (
	// lookInterval is how often the engine is asked for its state.
	lookInterval = 100 * time.Millisecond
	// noticeTime is how long gateways have to hear that an engine is switching.
	noticeTime = 40 * time.Millisecond
	// drainTime is how long an engine may be out of service before its weights are
	// whole here.
	drainTime = 2 * time.Second
	// switchTime bounds one switch: running requests end first.
	switchTime = 15 * time.Second
	// stageTries is how often a piece that reads back wrong is staged again.
	stageTries = 3
	// strangePieces is how many staged pieces may be of another version before the
	// rest is not looked at.
	strangePieces = 2
	// versionsKept is how many whole versions stay beside the newest.
	versionsKept = 1
	retryDelay   = 300 * time.Millisecond
	// firstVersion is served before any other is named.
	firstVersion = 1
)

type (
	// Settings of a stager.
	Settings struct {
		// Member is this process; its Upstream is the engine's address.
		Member  *schema.Member
		Service figbank.ServiceName
		// VersionTime is the bound after which no request begins on weights older
		// than those named.
		VersionTime time.Duration
	}

	// Stager drives one engine. Start it with Run.
	Stager struct {
		common   figbank.Common
		settings Settings
		engine   Engine
		origin   Origin
		view     *feed.View
		feeds    *feed.Subscriber
		store    *weights.Store
		active   *transfer.Active
		fetcher  *transfer.Fetcher

		state     *schema.EngineState
		collected collection
		// drainedAt is when the engine was taken out of service for the version under
		// way, once a version.
		drainedAt time.Time
		// rules are those in force, unpacked.
		rules *schema.Traffic

		mu sync.Mutex
		// held are the versions whole on this host.
		held map[Source]*weights.Version
	}

	// collection is the version that is being brought to this host.
	collection struct {
		source Source
		cancel context.CancelFunc
	}

	// target is what the engine should serve.
	target struct {
		source Source
		layers int64
	}
)

// New returns a stager.
func New(common figbank.Common, settings Settings, engine Engine, origin Origin, view *feed.View, feeds *feed.Subscriber,
	store *weights.Store, active *transfer.Active, open func(transfer.Origin, func() ([]swarm.Peer, <-chan struct{})) *transfer.Fetcher,
) *Stager {
	s := &Stager{
		common: common.For("staging"), settings: settings, engine: engine, origin: origin, view: view, feeds: feeds, store: store, active: active,
		state: &schema.EngineState{
			Address: settings.Member.GetUpstream(), AgentStartUnixNano: common.Clock.Now().UnixNano(),
		},
		held: map[Source]*weights.Version{},
	}
	s.fetcher = open(newPieces(origin), newPeers(view, settings.Member).list)
	return s
}

// Run drives the engine until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	ticks, stop := s.common.Clock.Tick(lookInterval)
	defer stop()
	reachable := true
	for {
		report, err := s.engine.Report(ctx)
		if (err == nil) != reachable {
			reachable = err == nil
			s.common.Log.Info("engine reachable", zap.Bool("reachable", reachable), zap.String("engine", s.settings.Member.GetUpstream()))
		}
		if err == nil {
			s.publish(report, s.draining(report))
			s.step(ctx, report)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

func (s *Stager) step(ctx context.Context, report Report) {
	wanted, known := s.target()
	if known && s.collected.source != wanted.source {
		s.abandon()
	}
	held := s.whole(wanted.source)
	situation := Situation{
		Known: known, Loaded: report.Loaded.GetVersion(), Wanted: wanted.source.Version,
		Layers: report.Loaded.GetLayers(), AllLayers: wanted.layers, Busy: report.Busy, Held: held != nil,
	}
	situation.HeldShare = s.heldShare()
	if known && situation.Loaded != situation.Wanted {
		situation.MaySwitch = s.maySwitch(wanted, situation.Loaded)
	}
	switch Decide(situation) {
	case Collect, Seed:
		s.collect(ctx, wanted.source)
	case Drain:
		s.drain(report)
	case Switch:
		s.switchTo(ctx, wanted, held, situation.Loaded > 0)
	case Wait:
	}
}

// target is the version that the engine should serve, and where it comes from.
func (s *Stager) target() (target, bool) {
	fleet := s.view.Fleet()
	if s.rules == nil || s.rules.GetNumber() != fleet.GetTrafficNumber() {
		s.rules = s.readRules(fleet)
	}
	var wanted target
	for _, service := range s.rules.GetServices() {
		if service.GetOrigin() != "" {
			wanted.source.Address = figbank.Address(service.GetOrigin())
		}
		if service.GetName() == string(s.settings.Service) {
			wanted.source.Model = service.GetEngine().GetModel()
			wanted.layers = service.GetEngine().GetLayers()
		}
	}
	wanted.source.Version = firstVersion
	if named := rollout.Newest(fleet.GetVersions(), wanted.source.Model); named != nil {
		wanted.source.Version = named.GetVersion()
	}
	return wanted, wanted.source.Address != "" && wanted.source.Model != ""
}

// maySwitch asks rollout, with what the registry tells of this failure domain.
func (s *Stager) maySwitch(wanted target, loaded int64) bool {
	var upstreams []rollout.Switching
	for _, upstream := range s.view.Upstreams() {
		if s.isNeighbour(upstream) {
			upstreams = append(upstreams, rollout.Switching{
				Old: upstream.Loaded.GetVersion() < wanted.source.Version, Out: upstream.Switching,
				Self: upstream.Record.GetAddress() == s.settings.Member.GetUpstream(),
			})
		}
	}
	first := rollout.FirstAfter(s.view.Fleet().GetVersions(), wanted.source.Model, loaded)
	since := s.common.Clock.Now().Sub(time.Unix(0, first.GetNamedUnixNano()))
	return rollout.MaySwitch(upstreams, since, s.settings.VersionTime)
}

func (s *Stager) isNeighbour(upstream registry.Upstream) bool {
	record := upstream.Record
	return record.GetService() == string(s.settings.Service) &&
		record.GetFailureDomain() == s.settings.Member.GetFailureDomain() &&
		record.GetState() == schema.InstanceState_INSTANCE_STATE_READY && upstream.Loaded.GetVersion() > 0
}

// heldShare is how much of the version under way is here.
func (s *Stager) heldShare() float64 {
	held, total := s.active.Progress()
	if total == 0 {
		return 0
	}
	return float64(held) / float64(total)
}

// drain takes the engine out of service before its weights are whole here.
func (s *Stager) drain(report Report) {
	if !s.drainedAt.IsZero() {
		return
	}
	s.drainedAt = s.common.Clock.Now()
	s.common.Log.Info("engine drains", zap.Float64("heldShare", s.heldShare()), zap.Int64("running", report.Running))
	s.publish(report, true)
}

// draining tells whether the engine is still out of service for the weights
// under way. When they do not come, it serves again.
func (s *Stager) draining(report Report) bool {
	waits := report.Loaded.GetVersion() > 0 && report.Loaded.GetVersion() < s.collected.source.Version
	return waits && !s.drainedAt.IsZero() && s.common.Clock.Now().Sub(s.drainedAt) < drainTime
}

// publish tells gateways and other agents what the engine holds, at once when
// it has changed.
func (s *Stager) publish(report Report, switching bool) {
	old := s.state
	same := old.GetBornUnixMilli() == report.BornUnixMilli && old.GetSwitching() == switching &&
		old.GetLoaded().GetVersion() == report.Loaded.GetVersion() && old.GetLoaded().GetLayers() == report.Loaded.GetLayers()
	if same && old.GetSequence() > 0 {
		return
	}
	s.state = &schema.EngineState{
		Address: old.GetAddress(), BornUnixMilli: report.BornUnixMilli, AgentStartUnixNano: old.GetAgentStartUnixNano(),
		Sequence: old.GetSequence() + 1, Loaded: report.Loaded, Switching: switching,
	}
	s.feeds.SetEngine(s.state)
}
