package app

import (
	"context"
	"net/http"
	"strings"

	"figbank"
	"figbank/configuration"
	"figbank/disk"
	"figbank/exchange"
	"figbank/gateway"
	"figbank/grants"
	"figbank/listener"
	"figbank/operators"
	"figbank/raft"
	"figbank/relay"
	"figbank/replica"
	"figbank/routing"
	"figbank/schema"
	"figbank/settings"
	"figbank/timeline"
	"figbank/transport"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// logFolder is the folder of a replica's log in its data folder.
const logFolder = "Log"

// NewGateway returns the application that runs a gateway. If the gateway's Id is among
// Replicas, the gateway is also a replica of the log.
func NewGateway(s *schema.GatewaySettings, options ...fx.Option) *fx.App {
	return fx.New(
		baseOptions(s.GetProcess()),
		fx.Supply(s),
		fx.Provide(
			newHolder, newPool, newProposer, newReplica, newCallerGateway, newExchange, newOperators,
		),
		fx.Invoke(serveProcesses, serveOperators, serveCallers),
		fx.Options(options...),
	)
}

func newHolder(common figbank.Common) *configuration.Holder {
	return configuration.NewHolder(common.Recorder)
}

func newPool(lifecycle fx.Lifecycle, common figbank.Common) *transport.Pool {
	pool := transport.NewPool(common)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newProposer(common figbank.Common, pool *transport.Pool, s *schema.GatewaySettings) figbank.Proposer {
	var endpoints []replica.Endpoint
	for id, address := range settings.Replicas(s) {
		endpoints = append(endpoints, replica.Endpoint{ID: id, Address: address})
	}
	return replica.NewClient(common, pool, func() []replica.Endpoint { return endpoints })
}

// newReplica returns nil on a gateway that is not a replica of the log.
func newReplica(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, common figbank.Common,
	s *schema.GatewaySettings, pool *transport.Pool, holder *configuration.Holder,
) (*replica.Replica, error) {
	if !settings.IsReplica(s) {
		return nil, nil //nolint:nilnil // a gateway without a replica is valid
	}
	unlock, err := lockFolder(s.GetProcess().GetDataFolder())
	if err != nil {
		return nil, err
	}
	folder, err := disk.OpenFolder(s.GetProcess().GetDataFolder() + "/" + logFolder)
	if err != nil {
		return nil, err
	}
	r, err := replica.NewReplica(common, replica.Settings{
		Timing: raft.Timing{
			ElectionTimeout:   s.GetLog().GetElectionTimeout().AsDuration(),
			HeartbeatInterval: s.GetLog().GetHeartbeatInterval().AsDuration(),
		},
		SnapshotEntries: int(s.GetLog().GetSnapshotEntries()),
		Voters:          settings.Replicas(s),
	}, folder, pool,
		replica.WithConfiguration(func(c *schema.Configuration) { holder.Offer(c) }),
		replica.WithFailure(func(error) { _ = shutdowner.Shutdown(fx.ExitCode(1)) }),
	)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(func() {
		r.Close()
		unlock()
	}))
	return r, nil
}

func newCallerGateway(lifecycle fx.Lifecycle, common figbank.Common, s *schema.GatewaySettings,
	pool *transport.Pool, holder *configuration.Holder, proposer figbank.Proposer,
) *callerGateway {
	callers := &callerGateway{}
	location := routing.Location{
		Region:        figbank.Region(s.GetProcess().GetRegion()),
		FailureDomain: figbank.FailureDomain(s.GetProcess().GetFailureDomain()),
	}
	r := s.GetRequests()
	callers.Gateway = gateway.New(common, gateway.Settings{
		Relay: relay.Settings{
			Location: location, StreamWindow: figbank.Bytes(r.GetStreamWindow()), QueueLength: int(r.GetQueueLength()),
			QueueAge: r.GetQueueAge().AsDuration(), Deadline: r.GetDeadline().AsDuration(), RetryShare: r.GetRetryShare(),
		},
		MaxBody: figbank.Bytes(r.GetMaxBody()), MaxBufferedBytes: figbank.Bytes(r.GetMaxHeld()), CallerKeys: callerKeys(s),
	}, holder, pool, proposer, func() bool { return callers.exchange != nil && callers.exchange.CaughtUp() })
	lifecycle.Append(fx.StopHook(callers.Close))
	return callers
}

// callerGateway is the part that serves callers. It is ready only when its exchange has caught
// up. newExchange sets the field exchange, since an exchange needs the gateway's relay and thus
// can only be created after the gateway.
type callerGateway struct {
	*gateway.Gateway
	exchange *exchange.Exchange
}

func newExchange(lifecycle fx.Lifecycle, common figbank.Common, s *schema.GatewaySettings,
	pool *transport.Pool, holder *configuration.Holder, callers *callerGateway,
) *exchange.Exchange {
	e := exchange.New(common, figbank.FailureDomain(s.GetProcess().GetFailureDomain()),
		s.GetRequests().GetUpstreamLease().AsDuration(), holder, pool, addresses(s.GetGateway().GetGateways()),
		exchange.WithChangeHandler(callers.Relay().SetUpstreams),
		exchange.WithAnnouncementHandler(callers.Relay().UpdateLoad),
	)
	callers.exchange = e
	lifecycle.Append(fx.StopHook(e.Close))
	return e
}

func newOperators(common figbank.Common, s *schema.GatewaySettings, proposer figbank.Proposer, m metrics,
	recorder *timeline.Recorder, pool *transport.Pool, holder *configuration.Holder,
	e *exchange.Exchange, callers *callerGateway, r *replica.Replica,
) *operators.API {
	status := func() *schema.Status {
		current := holder.Current()
		status := &schema.Status{
			Process: s.GetProcess().GetId(), FailureDomain: s.GetProcess().GetFailureDomain(), Ready: callers.Ready(),
			ConfigIndex: current.GetCommitIndex(), Configuration: current, Upstreams: e.Alive(), Traffic: callers.Traffic(),
		}
		if r != nil {
			status.Replica = r.Status()
		}
		return status
	}
	events := func(request *http.Request) []*schema.Event {
		reachable := addresses(s.GetGateway().GetGateways())
		for _, upstream := range e.Alive() {
			reachable = append(reachable, figbank.Address(upstream.GetAddress()))
		}
		return recorder.Gather(request.Context(), pool, reachable)
	}
	views := operators.Views{Status: status, Timeline: events, Metrics: m.handler}
	return operators.New(common, proposer, views, s.GetGateway().GetOperatorKeys())
}

// serveProcesses serves the streams of other figbank processes.
func serveProcesses(lifecycle fx.Lifecycle, common figbank.Common, s *schema.GatewaySettings,
	e *exchange.Exchange, callers *callerGateway, r *replica.Replica, recorder *timeline.Recorder, proposer figbank.Proposer,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	handlers := transport.Handlers{
		schema.StreamKind_STREAM_KIND_EXCHANGE: e.ServeExchange,
		schema.StreamKind_STREAM_KIND_ANNOUNCE: e.ServeAnnounce,
		schema.StreamKind_STREAM_KIND_GRANT:    grants.New(proposer, callers.Relay().CountRoutable).Serve,
		schema.StreamKind_STREAM_KIND_INSPECT:  recorder.Serve,
	}
	if r != nil {
		handlers[schema.StreamKind_STREAM_KIND_RAFT] = r.ServeRaft
		handlers[schema.StreamKind_STREAM_KIND_PROPOSE] = r.ServePropose
	}
	server := transport.NewServer(common, listener, handlers)
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

// serveOperators serves the operators' API.
func serveOperators(lifecycle fx.Lifecycle, common figbank.Common, s *schema.GatewaySettings, api *operators.API) error {
	accepting, err := listen(s.GetGateway().GetListenOperators())
	if err != nil {
		return err
	}
	server := newHTTPServer(api.Handler())
	go func() { _ = server.Serve(listener.NewLasting(common, accepting)) }()
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

// serveCallers serves callers. It is invoked last, so that fx stops it first: running
// requests can still use all other parts during the graceful shutdown.
func serveCallers(lifecycle fx.Lifecycle, common figbank.Common, s *schema.GatewaySettings, callers *callerGateway) error {
	accepting, err := listen(s.GetGateway().GetListenCallers())
	if err != nil {
		return err
	}
	server := newHTTPServer(callers.Handler())
	go func() { _ = server.Serve(listener.NewLasting(common, accepting)) }()
	common.Log.Info("gateway: serving", zap.String("callers", accepting.Addr().String()),
		zap.String("operators", s.GetGateway().GetListenOperators()))
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		common.Log.Info("gateway: shutting down")
		if err := callers.Shutdown(ctx, s.GetRequests().GetShutdownNotice().AsDuration()); err != nil {
			return err
		}
		return server.Shutdown(ctx)
	}))
	return nil
}

func callerKeys(s *schema.GatewaySettings) map[string]figbank.Workspace {
	keys := map[string]figbank.Workspace{}
	for _, text := range s.GetGateway().GetCallerKeys() {
		workspace, digest, _ := strings.Cut(text, "=")
		keys[digest] = figbank.Workspace(workspace)
	}
	return keys
}

func addresses(texts []string) []figbank.Address {
	list := make([]figbank.Address, len(texts))
	for i, text := range texts {
		list[i] = figbank.Address(text)
	}
	return list
}
