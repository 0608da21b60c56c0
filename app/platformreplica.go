package app

import (
	"context"
	"slices"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/control"
	"figbank/disk"
	"figbank/feed"
	"figbank/platform"
	"figbank/raft"
	"figbank/replica"
	"figbank/schema"
	"figbank/settings"
	"figbank/timeline"
	"figbank/transport"
	"figbank/voters"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/zap"
)

const (
	// leaveInterval and leaveLooks bound how long a replica that stops waits for a
	// spare to take its place.
	leaveInterval = 50 * time.Millisecond
	leaveLooks    = 60
)

// NewPlatformReplica wires a replica on a platform.
func NewPlatformReplica(s *schema.PlatformSettings, file SettingsFile, options ...fx.Option) *fx.App {
	return fx.New(
		platformBase(s, schema.MemberRole_MEMBER_ROLE_REPLICA),
		fx.Supply(file),
		fx.Provide(newPlatformVoter, newPlatformProposer),
		fx.Invoke(watchSettings, expireLeases, serveReplica, serveControl, announceReplica),
		fx.Options(options...),
	)
}

// voter keeps a replica of the log running.
type voter struct {
	*replica.Supervisor
	// id is who it is in the log.
	id string
}

// newPlatformVoter takes part in the log as the replica that the disk says. An
// empty disk begins a new log only when the whole deployment starts.
func newPlatformVoter(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings,
	pool *transport.Pool, fleet *configuration.FleetHolder, view *feed.View,
) (voter, error) {
	folder, err := disk.OpenFolder(s.GetProcess().GetDataFolder())
	if err != nil {
		return voter{}, err
	}
	identity, err := identify(folder, s)
	if err != nil {
		return voter{}, err
	}
	common.Log.Info("replica: identified", zap.String("id", identity.GetId()), zap.Int("firstVoters", len(identity.GetVoters())),
		zap.Bool("bootstrap", s.GetNode().GetBootstrap()))
	common.Process = figbank.ProcessID(identity.GetId())
	supervisor, err := replica.NewSupervisor(common, func(failed func(error), again bool) (*replica.Replica, error) {
		settings := replicaSettings(s, identity)
		settings.Rewrite = again
		return replica.NewReplica(common, settings, folder, pool,
			replica.WithFleet(func(f *schema.Fleet) { fleet.Offer(f) }),
			replica.WithReplicas(func() []voters.Replica { return knownReplicas(view, common.Process, s) }),
			replica.WithFailure(failed),
		)
	})
	if err != nil {
		return voter{}, err
	}
	lifecycle.Append(fx.StopHook(supervisor.Close))
	return voter{Supervisor: supervisor, id: identity.GetId()}, nil
}

func replicaSettings(s *schema.PlatformSettings, identity *schema.ReplicaIdentity) replica.Settings {
	first := map[figbank.ProcessID]figbank.Address{}
	for _, v := range identity.GetVoters() {
		first[figbank.ProcessID(v.GetId())] = figbank.Address(v.GetAddress())
	}
	return replica.Settings{
		Timing: raft.Timing{
			ElectionTimeout:   s.GetLog().GetElectionTimeout().AsDuration(),
			HeartbeatInterval: s.GetLog().GetHeartbeatInterval().AsDuration(),
		},
		SnapshotEntries: int(s.GetLog().GetSnapshotEntries()),
		LostDisks:       int(s.GetBounds().GetLostDisks()),
		Voters:          first,
		Address:         settings.ProcessAddress(s.GetProcess()),
	}
}

// identify returns who this replica is. An empty disk makes it a new one, which
// waits to be added, unless the whole deployment starts for the first time.
func identify(folder figbank.Disk, s *schema.PlatformSettings) (*schema.ReplicaIdentity, error) {
	identity, err := replica.LoadIdentity(folder)
	if err != nil || identity != nil {
		return identity, err
	}
	self := string(settings.ProcessAddress(s.GetProcess()))
	seeds := seedAddresses(s)
	if s.GetNode().GetBootstrap() && slices.Contains(seeds, figbank.Address(self)) {
		identity = &schema.ReplicaIdentity{Id: self}
		for _, seed := range seeds {
			identity.Voters = append(identity.Voters, &schema.Voter{Id: string(seed), Address: string(seed)})
		}
	} else {
		identity = &schema.ReplicaIdentity{Id: self + "#" + uuid.NewString()}
	}
	return identity, replica.SaveIdentity(folder, identity)
}

// knownReplicas lists the replicas in touch, this one included.
func knownReplicas(view *feed.View, self figbank.ProcessID, s *schema.PlatformSettings) []voters.Replica {
	known := []voters.Replica{{
		ID: self, Address: settings.ProcessAddress(s.GetProcess()),
		Domain: figbank.FailureDomain(s.GetProcess().GetFailureDomain()),
	}}
	for _, member := range view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA && member.GetReplicaId() != "" && member.GetId() != s.GetProcess().GetId() {
			known = append(known, voters.Replica{
				ID: figbank.ProcessID(member.GetReplicaId()), Address: figbank.Address(member.GetAddress()),
				Domain: figbank.FailureDomain(member.GetFailureDomain()), Leaving: member.GetLeaving(),
			})
		}
	}
	return known
}

// announceReplica tells the others who this process is in the log, and before it
// stops that it is leaving, so that a spare takes its place while it is there.
func announceReplica(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, v voter,
	view *feed.View, subscriber *feed.Subscriber,
) {
	self := memberOf(s, schema.MemberRole_MEMBER_ROLE_REPLICA)
	self.ReplicaId = v.id
	subscriber.SetMember(self)
	lifecycle.Append(fx.StopHook(func() {
		leaving := memberOf(s, schema.MemberRole_MEMBER_ROLE_REPLICA)
		leaving.ReplicaId, leaving.Leaving = v.id, true
		subscriber.SetMember(leaving)
		common.Log.Info("replica: stopping", zap.String("id", v.id))
		for range leaveLooks {
			if !v.NeedsSuccessor(knownReplicas(view, figbank.ProcessID(v.id), s)) {
				return
			}
			<-common.Clock.After(leaveInterval)
		}
	}))
}

func newPlatformProposer(common figbank.Common, s *schema.PlatformSettings, pool *transport.Pool, view *feed.View) figbank.Proposer {
	return replica.NewClient(common, pool, func() []replica.Endpoint {
		endpoints := []replica.Endpoint{}
		add := func(id string, address figbank.Address) {
			if !slices.ContainsFunc(endpoints, func(e replica.Endpoint) bool { return e.Address == address }) {
				endpoints = append(endpoints, replica.Endpoint{ID: figbank.ProcessID(id), Address: address})
			}
		}
		for _, member := range view.Members() {
			if member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
				add(member.GetReplicaId(), figbank.Address(member.GetAddress()))
			}
		}
		add(s.GetProcess().GetId(), settings.ProcessAddress(s.GetProcess()))
		for _, seed := range seedAddresses(s) {
			add(string(seed), seed)
		}
		return endpoints
	})
}

func expireLeases(lifecycle fx.Lifecycle, view *feed.View) {
	ctx, cancel := context.WithCancel(context.Background())
	go view.Expire(ctx)
	lifecycle.Append(fx.StopHook(cancel))
}

func serveReplica(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, v voter,
	view *feed.View, recorder *timeline.Recorder, meter *transport.Meter, _ *feed.Subscriber,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	handlers := transport.Handlers{
		schema.StreamKind_STREAM_KIND_FEED:    view.Serve,
		schema.StreamKind_STREAM_KIND_INSPECT: recorder.Serve,
		schema.StreamKind_STREAM_KIND_RAFT:    v.ServeRaft,
		schema.StreamKind_STREAM_KIND_PROPOSE: v.ServePropose,
	}
	server := transport.NewServer(common, listener, handlers, transport.WithMeter(meter))
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

func serveControl(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, proposer figbank.Proposer,
	view *feed.View, v voter, fleet *configuration.FleetHolder,
) error {
	c := control.New(common, proposer, view)
	ctx, cancel := context.WithCancel(context.Background())
	go c.CountGateways(ctx, v.Leads, fleet.Current)
	lifecycle.Append(fx.StopHook(cancel))
	door := platform.NewControlDoor(common, c)
	common.Log.Info("replica: started", zap.String("control", s.GetNode().GetListenControl()))
	return serveHTTP(lifecycle, s.GetNode().GetListenControl(), door.Handler())
}
