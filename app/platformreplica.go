package app

import (
	"context"
	"slices"

	"figbank"
	"figbank/configuration"
	"figbank/control"
	"figbank/disk"
	"figbank/feed"
	"figbank/platform"
	"figbank/raft"
	"figbank/replica"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transport"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// NewPlatformReplica wires a replica on a platform.
func NewPlatformReplica(s *schema.PlatformSettings, file SettingsFile, options ...fx.Option) *fx.App {
	return fx.New(
		platformBase(s, schema.MemberRole_MEMBER_ROLE_REPLICA),
		fx.Supply(file),
		fx.Provide(newPlatformVoter, newPlatformProposer),
		fx.Invoke(watchSettings, expireLeases, serveReplica, serveControl),
		fx.Options(options...),
	)
}

// voter keeps a replica of the log running, nil on a process that has none.
type voter struct {
	*replica.Supervisor
}

// newPlatformVoter takes part in the log as the replica that the disk says. An
// empty disk begins a new log only when the whole deployment starts.
func newPlatformVoter(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings,
	pool *transport.Pool, fleet *configuration.FleetHolder,
) (voter, error) {
	folder, err := disk.OpenFolder(s.GetProcess().GetDataFolder())
	if err != nil {
		return voter{}, err
	}
	identity, err := identify(folder, s)
	if err != nil || identity == nil {
		common.Log.Info("replica: keeps no log", zap.Bool("bootstrap", s.GetNode().GetBootstrap()))
		return voter{}, err
	}
	common.Process = figbank.ProcessID(identity.GetId())
	supervisor, err := replica.NewSupervisor(common, func(failed func(error), again bool) (*replica.Replica, error) {
		settings := replicaSettings(s, identity)
		settings.Rewrite = again
		return replica.NewReplica(common, settings, folder, pool,
			replica.WithFleet(func(f *schema.Fleet) { fleet.Offer(f) }),
			replica.WithFailure(failed),
		)
	})
	if err != nil {
		return voter{}, err
	}
	lifecycle.Append(fx.StopHook(supervisor.Close))
	return voter{Supervisor: supervisor}, nil
}

func replicaSettings(s *schema.PlatformSettings, identity *schema.ReplicaIdentity) replica.Settings {
	voters := map[figbank.ProcessID]figbank.Address{}
	for _, v := range identity.GetVoters() {
		voters[figbank.ProcessID(v.GetId())] = figbank.Address(v.GetAddress())
	}
	return replica.Settings{
		Timing: raft.Timing{
			ElectionTimeout:   s.GetLog().GetElectionTimeout().AsDuration(),
			HeartbeatInterval: s.GetLog().GetHeartbeatInterval().AsDuration(),
		},
		SnapshotEntries: int(s.GetLog().GetSnapshotEntries()),
		Voters:          voters,
	}
}

// identify returns who this replica is, nil when it is none.
func identify(folder figbank.Disk, s *schema.PlatformSettings) (*schema.ReplicaIdentity, error) {
	identity, err := replica.LoadIdentity(folder)
	if err != nil || identity != nil || !s.GetNode().GetBootstrap() {
		return identity, err
	}
	self := s.GetProcess().GetListenProcesses()
	seeds := seedAddresses(s)
	if !slices.Contains(seeds, figbank.Address(self)) {
		return nil, nil //nolint:nilnil // not a first voter is no failure
	}
	identity = &schema.ReplicaIdentity{Id: self}
	for _, seed := range seeds {
		identity.Voters = append(identity.Voters, &schema.Voter{Id: string(seed), Address: string(seed)})
	}
	return identity, replica.SaveIdentity(folder, identity)
}

func newPlatformProposer(common figbank.Common, s *schema.PlatformSettings, pool *transport.Pool) figbank.Proposer {
	var endpoints []replica.Endpoint
	for _, seed := range seedAddresses(s) {
		endpoints = append(endpoints, replica.Endpoint{ID: figbank.ProcessID(seed), Address: seed})
	}
	return replica.NewClient(common, pool, endpoints)
}

func expireLeases(lifecycle fx.Lifecycle, view *feed.View) {
	ctx, cancel := context.WithCancel(context.Background())
	go view.Expire(ctx)
	lifecycle.Append(fx.StopHook(cancel))
}

func serveReplica(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, v voter,
	view *feed.View, recorder *timeline.Recorder, _ *feed.Subscriber,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	handlers := transport.Handlers{
		schema.StreamKind_STREAM_KIND_FEED:    view.Serve,
		schema.StreamKind_STREAM_KIND_INSPECT: recorder.Serve,
	}
	if v.Supervisor != nil {
		handlers[schema.StreamKind_STREAM_KIND_RAFT] = v.ServeRaft
		handlers[schema.StreamKind_STREAM_KIND_PROPOSE] = v.ServePropose
	}
	server := transport.NewServer(common, listener, handlers)
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

func serveControl(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, proposer figbank.Proposer, view *feed.View) error {
	door := platform.NewControlDoor(common, control.New(common, proposer, view))
	common.Log.Info("replica: started", zap.String("control", s.GetNode().GetListenControl()))
	return serveHTTP(lifecycle, s.GetNode().GetListenControl(), door.Handler())
}
