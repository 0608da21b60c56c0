package app

import (
	"context"
	"time"

	"figbank"
	"figbank/dispatch"
	"figbank/feed"
	"figbank/httpserver"
	"figbank/loadshare"
	"figbank/memory"
	"figbank/metering"
	"figbank/platform"
	"figbank/reservation"
	"figbank/retry"
	"figbank/schema"
	"figbank/settings"
	"figbank/timeline"
	"figbank/transport"
	"figbank/upstream"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

const (
	// noticeTime is how long the platform's load balancer may take to notice that a
	// gateway is no longer ready.
	noticeTime = 2300 * time.Millisecond
	// stopMargin is the part of GraceTime that remains after the graceful shutdown.
	stopMargin = 500 * time.Millisecond
	// answerMargin is how long before the end of the graceful shutdown the requests that still run are
	// ended, so that each caller is told whether its request may have run.
	answerMargin = 300 * time.Millisecond
)

// NewPlatformGateway returns the application that runs a gateway on a platform.
func NewPlatformGateway(s *schema.PlatformSettings, file SettingsFile, options ...fx.Option) *fx.App {
	return fx.New(
		platformOptions(s, schema.MemberRole_MEMBER_ROLE_GATEWAY),
		fx.Supply(file),
		fx.Provide(newStopState),
		fx.Provide(newRequestMemory, newGatewayPool, newUsageCounter, newDispatcher),
		fx.Invoke(watchSettings, reportRequestMemory, shareLoad, serveReadiness, servePlatformCallers),
		fx.Options(options...),
	)
}

// newGatewayPool returns the connections to upstreams of a gateway. What they read counts in the budget.
func newGatewayPool(lifecycle fx.Lifecycle, common figbank.Common, budget *memory.Budget) *upstream.Pool {
	return newUpstreamPool(lifecycle, common, upstream.WithMemory(budget))
}

func newUpstreamPool(lifecycle fx.Lifecycle, common figbank.Common, options ...upstream.Option) *upstream.Pool {
	dialed := common.Scope.SubScope("upstream").Counter("connections")
	options = append(options, upstream.WithDialHook(func() { dialed.Inc(1) }))
	pool := upstream.NewPool(common.Clock, options...)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newDispatcher(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings,
	pool *upstream.Pool, view *feed.View, budget *memory.Budget, usage *metering.Counter, _ *feed.Subscriber,
) *dispatch.Dispatcher {
	var began func(figbank.Workspace)
	if usage != nil {
		began = usage.Begin
	}
	dispatcher := dispatch.New(common, dispatch.Settings{
		Began: began,
		Location: dispatch.Location{
			Region:        figbank.Region(s.GetProcess().GetRegion()),
			FailureDomain: figbank.FailureDomain(s.GetProcess().GetFailureDomain()),
			Regions:       settings.RegionsOf(s),
			VersionTime:   s.GetBounds().GetVersionTime().AsDuration(),
		},
		Retries: retry.Allowance{
			Ratio: s.GetBounds().GetRetryRatio(), Slack: s.GetBounds().GetRetrySlack(), Window: s.GetBounds().GetRetryWindow().AsDuration(),
		},
		HomeFirst: s.GetPlacement().GetHomeFirst(), LeaveCost: s.GetPlacement().GetLeaveCost().AsDuration(),
		Memory: budget,
	}, platform.NewTransport(common.Clock, pool), view)
	lifecycle.Append(fx.StopHook(dispatcher.Close))
	return dispatcher
}

// shareLoad exchanges reports with other gateways. A report tells how many requests a gateway
// has in flight at each upstream, and which requests crash upstreams. It also lets gateways
// reserve places at upstreams with each other.
func shareLoad(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, d *dispatch.Dispatcher,
	view *feed.View, pool *transport.Pool, recorder *timeline.Recorder, meter *transport.Meter, usage *metering.Counter,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	self := memberOf(s, schema.MemberRole_MEMBER_ROLE_GATEWAY)
	share := loadshare.New(common, d, view, pool, self)
	keeper := reservation.NewKeeper(common.Clock, d.Table)
	d.UseReserver(reservation.NewClient(common, pool, view, keeper, self))
	handlers := transport.Handlers{
		schema.StreamKind_STREAM_KIND_LOAD:    share.Serve,
		schema.StreamKind_STREAM_KIND_RESERVE: keeper.Serve,
		schema.StreamKind_STREAM_KIND_INSPECT: recorder.Serve,
	}
	if usage != nil {
		handlers[schema.StreamKind_STREAM_KIND_USAGE] = usage.Serve
	}
	server := transport.NewServer(common, listener, handlers, transport.WithMeter(meter))
	ctx, cancel := context.WithCancel(context.Background())
	go share.Run(ctx)
	lifecycle.Append(fx.StopHook(func() {
		cancel()
		server.Close()
	}))
	return nil
}

func serveReadiness(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, d *dispatch.Dispatcher, stopping *stopState) error {
	ready := func() bool { return d.Table() != nil && !stopping.begun.Load() }
	return serveHTTP(lifecycle, common, s.GetNode().GetListenReadiness(), platform.ReadinessHandler(ready))
}

// servePlatformCallers serves callers. It is invoked last, so that fx stops it first:
// running requests can still use all other parts during the graceful shutdown.
func servePlatformCallers(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings,
	d *dispatch.Dispatcher, budget *memory.Budget, stopping *stopState, _ *transport.Pool,
) error {
	listener, err := listen(s.GetNode().GetListenCallers())
	if err != nil {
		return err
	}
	handler := platform.NewFrontServer(common, d, platform.WithMemory(budget)).Handler()
	server := httpserver.New(common, stopping.handler(handler), func() httpserver.Limits { return callerLimits(d.Table()) })
	go server.Serve(listener)
	common.Log.Info("gateway: started", zap.String("callers", listener.Addr().String()))
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		common.Log.Info("gateway: stopping")
		stopping.begun.Store(true)
		// The load balancer sends callers here until it sees that this gateway is not
		// ready.
		<-common.Clock.After(noticeTime)
		left := s.GetBounds().GetGraceTime().AsDuration() - noticeTime - stopMargin
		ctx, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		go stopping.endAfter(ctx, common.Clock.After(left-answerMargin))
		err := server.Shutdown(ctx)
		common.Log.Info("gateway: stopped", zap.Bool("whole", err == nil))
		return nil
	}))
	return nil
}

// callerLimits returns the limits of callers by the traffic rules in table, which is nil before
// the first rules. Where the rules set no limit, that of the other servers applies.
func callerLimits(table *dispatch.Table) httpserver.Limits {
	limits := httpserver.Limits{HeadBytes: maxHeader, HeadTime: headerTimeout, IdleTime: idleTimeout}
	if table == nil {
		return limits
	}
	rules := table.Traffic.CallerLimits()
	if bytes := rules.GetMaxHeaderBytes(); bytes > 0 {
		limits.HeadBytes = figbank.Bytes(bytes)
	}
	if ms := rules.GetHeaderTimeoutMilliseconds(); ms > 0 {
		limits.HeadTime = time.Duration(ms) * time.Millisecond
	}
	if ms := rules.GetIdleTimeoutMilliseconds(); ms > 0 {
		limits.IdleTime = time.Duration(ms) * time.Millisecond
	}
	return limits
}
