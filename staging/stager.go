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
	// pollInterval is how often the engine is asked for its state.
	pollInterval = 100 * time.Millisecond
	// switchNoticeTime is how long the stager waits after it has announced a switch before it
	// sends the order to the engine, so that gateways stop sending requests in time.
	switchNoticeTime = 40 * time.Millisecond
	// maxDrainTime limits how long an engine that was taken out of service waits for the rest
	// of the wanted weights to arrive on this host. After that time, it serves again.
	maxDrainTime = 2 * time.Second
	// switchTimeout limits the duration of one switch. It includes the time in which
	// running requests end.
	switchTimeout = 15 * time.Second
	// maxStageAttempts limits the attempts to stage a piece that does not read back correctly.
	maxStageAttempts = 3
	// maxMismatches is how many staged pieces may be missing or wrong before the stager stops
	// reading the rest. Usually the rest then belongs to another version too.
	maxMismatches = 2
	// versionsKept is how many complete versions stay on disk in addition to the newest one.
	versionsKept = 1
	retryDelay   = 300 * time.Millisecond
	// newVersionTime is how long after its naming no host can hold a version yet, if all hosts hear
	// of it at about the same time.
	newVersionTime = 500 * time.Millisecond
	// firstVersion is the version to serve if operators have named no version for the model.
	firstVersion = 1
)

type (
	// Settings configure a stager.
	Settings struct {
		// Member describes this process. Its Upstream is the engine's address.
		Member  *schema.Member
		Service figbank.ServiceName
		// VersionTime is how long requests may still begin on older weights after an
		// operator has named a new version.
		VersionTime time.Duration
		// Bandwidth is the bytes of weights per second that this host may receive, 0 for no
		// limit.
		Bandwidth figbank.Bytes
		// Boot is a clock that goes on while the host is suspended.
		Boot figbank.BootClock
		// AskLister asks other hosts for the digests of a version, and Lists holds those that this host has for them. If
		// they are nil, each host asks the origin.
		AskLister AskLister
		Lists     *Lists
	}

	// Stager manages the weights of one engine. Start it with Run.
	Stager struct {
		common     figbank.Common
		settings   Settings
		engine     Engine
		origin     Origin
		view       *feed.View
		subscriber *feed.Subscriber
		store      *weights.Store
		active     *transfer.Active
		fetcher    *transfer.Fetcher
		peers      *peerList

		// load is the last order that the engine was sent, nil if what the engine has loaded is
		// verified.
		load *orderedLoad
		// state is the state that was published last.
		state    *schema.EngineState
		fetching fetchJob
		// drainedAt is when drain took the engine out of service, or zero. drain does so at
		// most once for each version.
		drainedAt time.Time
		// doubted is the version whose digests were in doubt. They are asked for at the origin. Only the fetch that runs uses
		// it.
		doubted Source
		// rules are the traffic rules in force, unpacked.
		rules *schema.Traffic

		mu sync.Mutex
		// held holds the versions that are complete on this host.
		held map[Source]*weights.Version
	}

	// fetchJob describes a fetch that was started. It is zero if there is none.
	fetchJob struct {
		source    Source
		startedAt time.Time
		cancel    context.CancelFunc
		// ended is closed when the fetch no longer uses the fetcher.
		ended chan struct{}
	}

	// target describes the version that the engine should load next.
	target struct {
		source Source
		layers int64
		// fetch is the version that this host should fetch, which differs from source while an
		// engine loads an older version before the newest one has arrived.
		fetch Source
		// originRate is the bytes per second of the origin's link, 0 if unknown. chunks is the
		// number of chunks of each version of the model.
		originRate figbank.Bytes
		chunks     int
	}
)

// New returns a stager. It calls newFetcher once to create the fetcher. The first argument is the
// origin. The second is a function that returns the list of peers, and a channel that is closed
// when the list changes.
func New(common figbank.Common, settings Settings, engine Engine, origin Origin, view *feed.View, subscriber *feed.Subscriber,
	store *weights.Store, active *transfer.Active, newFetcher func(transfer.Origin, func() ([]swarm.Peer, <-chan struct{})) *transfer.Fetcher,
) *Stager {
	s := &Stager{
		common: common.Named("staging"), settings: settings, engine: engine, origin: origin, view: view, subscriber: subscriber, store: store, active: active,
		state: &schema.EngineState{
			Address: settings.Member.GetUpstream(), AgentStartUnixNano: common.Clock.Now().UnixNano(),
		},
		held: map[Source]*weights.Version{},
	}
	s.peers = newPeerList(view, settings.Member)
	s.fetcher = newFetcher(newPieceOrigin(origin), s.peers.list)
	return s
}

// Run manages the engine until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	previousBorn, wasSwitching := s.awaitPreviousState(ctx)
	ticks, stop := s.common.Clock.Tick(pollInterval)
	defer stop()
	reachable := true
	for {
		report, err := s.engine.Report(ctx)
		if (err == nil) != reachable {
			reachable = err == nil
			s.common.Log.Info("engine reachability changed", zap.Bool("reachable", reachable), zap.String("engine", s.settings.Member.GetUpstream()))
		}
		if err == nil && wasSwitching {
			s.resumeLoad(report, previousBorn)
			wasSwitching = false
		}
		if err == nil {
			s.handleReport(ctx, report)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// handleReport publishes the engine's state and takes the next action.
func (s *Stager) handleReport(ctx context.Context, report Report) {
	s.settleLoad(ctx, report)
	s.publish(report, s.draining(report) || s.load.withheld(report))
	s.step(ctx, report)
}

// step decides on the next action and carries it out. If the action is a switch, step
// waits until the switch has ended or failed.
func (s *Stager) step(ctx context.Context, report Report) {
	wanted, known := s.target(report)
	if known && s.fetching.source != wanted.fetch {
		s.cancelFetch()
	}
	if known && s.heldVersion(wanted.fetch) == nil {
		s.startFetch(ctx, wanted)
	}
	held := s.heldVersion(wanted.source)
	input := DecisionInput{
		Known: known, Loaded: report.Loaded.GetVersion(), Wanted: wanted.source.Version,
		Layers: report.Loaded.GetLayers(), AllLayers: wanted.layers, Busy: report.Busy, Held: held != nil,
		Wrong: s.load.mustReload(report),
	}
	progress := s.active.Progress()
	input.HeldShare, input.InSight = progress.Share(), progress.InSight
	if known && input.Loaded != input.Wanted {
		input.MaySwitch = s.maySwitch(wanted, input.Loaded)
	}
	switch Decide(input) {
	case ActionDrain:
		s.drain(report)
	case ActionSwitch:
		source := wanted.source
		if input.Wrong && s.load.alreadyLoaded {
			source, held = s.heldOther(wanted.source)
		}
		if held != nil {
			s.switchTo(ctx, source, held, report)
		}
	case ActionWait, ActionFetch, ActionSeed:
	}
}

// maySwitch reports whether rollout.MaySwitch lets this engine switch now, given the upstreams of
// the same failure domain. If operators have named no version newer than the loaded one, the time
// since 1970 is passed instead, so the engine may switch.
func (s *Stager) maySwitch(wanted target, loaded int64) bool {
	var upstreams []rollout.Switching
	for _, upstream := range s.view.Upstreams(s.named) {
		if s.inSwitchGroup(upstream) {
			upstreams = append(upstreams, rollout.Switching{
				Old: upstream.Loaded.GetVersion() < wanted.source.Version, OutOfService: upstream.Switching,
				Self: upstream.Record.GetAddress() == s.settings.Member.GetUpstream(),
			})
		}
	}
	first := rollout.OldestAfter(s.view.Fleet().GetVersions(), wanted.source.Model, loaded)
	since := s.common.Clock.Now().Sub(time.Unix(0, first.GetNamedUnixNano()))
	return rollout.MaySwitch(upstreams, since, s.settings.VersionTime)
}

// inSwitchGroup reports whether an upstream is one of those of which only some may switch at once.
// Such an upstream is ready, has weights loaded, and runs the same service in the same failure
// domain.
func (s *Stager) inSwitchGroup(upstream registry.Upstream) bool {
	record := upstream.Record
	return record.GetService() == string(s.settings.Service) &&
		record.GetFailureDomain() == s.settings.Member.GetFailureDomain() &&
		record.GetState() == schema.InstanceState_INSTANCE_STATE_READY && upstream.Loaded.GetVersion() > 0
}

// drain takes the engine out of service before the wanted weights are complete on this host. It
// does this at most once for each version.
func (s *Stager) drain(report Report) {
	if !s.drainedAt.IsZero() {
		return
	}
	s.drainedAt = s.common.Clock.Now()
	s.common.Log.Info("engine is draining", zap.Float64("heldShare", s.active.Progress().Share()), zap.Int64("running", report.Running))
	s.publish(report, true)
}

// draining reports whether the engine is out of service because drain was called. If the weights do
// not arrive within maxDrainTime, it returns false, and the engine serves again.
func (s *Stager) draining(report Report) bool {
	outdated := report.Loaded.GetVersion() > 0 && report.Loaded.GetVersion() < s.fetching.source.Version
	return outdated && !s.drainedAt.IsZero() && s.common.Clock.Now().Sub(s.drainedAt) < maxDrainTime
}

// publish announces the engine's state to gateways and other agents if the state has changed.
func (s *Stager) publish(report Report, switching bool) {
	old := s.state
	sameEngine := old.GetBornUnixMilli() == report.BornUnixMilli
	saidBefore := sameEngine && old.GetLeaving()
	leaving := report.Leaving || saidBefore
	unchanged := sameEngine && old.GetSwitching() == switching && old.GetLeaving() == leaving &&
		old.GetLoaded().GetVersion() == report.Loaded.GetVersion() && old.GetLoaded().GetLayers() == report.Loaded.GetLayers()
	if unchanged && old.GetSequence() > 0 {
		return
	}
	if leaving && !saidBefore {
		s.common.Log.Info("engine says that it leaves", zap.String("engine", old.GetAddress()), zap.Int64("born", report.BornUnixMilli))
		s.common.Scope.Counter("leaving_engines").Inc(1)
	}
	s.state = &schema.EngineState{
		Address: old.GetAddress(), BornUnixMilli: report.BornUnixMilli, AgentStartUnixNano: old.GetAgentStartUnixNano(),
		Sequence: old.GetSequence() + 1, Loaded: report.Loaded, Switching: switching, Leaving: leaving,
	}
	s.subscriber.SetEngine(s.state)
}
