package app

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
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
	// leavePollInterval is how often a stopping replica checks whether a spare replica has
	// replaced it as a voter. leavePolls is the largest number of checks, so that the
	// replica waits at most 3 s.
	leavePollInterval = 50 * time.Millisecond
	leavePolls        = 60
	// identityRetryDelay is the pause between two attempts to store a new identity, identityPatience how long
	// they go on.
	identityRetryDelay = 250 * time.Millisecond
	identityPatience   = 30 * time.Second
)

// NewPlatformReplica returns the application that runs a replica on a platform.
func NewPlatformReplica(s *schema.PlatformSettings, file SettingsFile, options ...fx.Option) *fx.App {
	return fx.New(
		platformOptions(s, schema.MemberRole_MEMBER_ROLE_REPLICA),
		fx.Supply(file),
		fx.Provide(openDataFolder, control.NewLeaves, newDutyRecords, newLogReplica, newPlatformProposer),
		fx.Invoke(watchSettings, expireLeases, serveReplica, serveControl, announceReplica, logReplicaWork, reportUsage),
		fx.Options(options...),
	)
}

// logReplica is this process's replica of the log, with its supervisor.
type logReplica struct {
	*replica.Supervisor
	// id identifies the replica in the log.
	id string
	// leaving is set once the process is about to stop. If it leads the log, it replaces itself as a voter.
	leaving *atomic.Bool
}

func openDataFolder(s *schema.PlatformSettings) (figbank.Disk, error) {
	return disk.OpenFolder(s.GetProcess().GetDataFolder())
}

// newLogReplica starts the replica under the identity stored on the disk. See
// loadOrCreateIdentity for an empty disk.
func newLogReplica(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, folder figbank.Disk,
	pool *transport.Pool, fleet *configuration.FleetHolder, view *feed.View, leaves *control.Leaves, duties *dutyRecords,
) (logReplica, error) {
	identity, err := awaitIdentity(common, folder, s)
	if err != nil {
		return logReplica{}, err
	}
	common.Log.Info("replica: identified", zap.String("id", identity.GetId()), zap.Int("firstVoters", len(identity.GetVoters())),
		zap.Bool("bootstrap", s.GetNode().GetBootstrap()))
	common.Process = figbank.ProcessID(identity.GetId())
	leaving := &atomic.Bool{}
	supervisor, err := replica.NewSupervisor(common, func(failed func(error), rewrite bool) (*replica.Replica, error) {
		settings := replicaSettings(s, identity)
		settings.RewriteLog = rewrite
		return replica.NewReplica(common, settings, folder, pool,
			replica.WithFleet(func(f *schema.Fleet) { fleet.Offer(f) }),
			replica.WithLeaves(leaves.Add),
			replica.WithDuties(duties.publish),
			replica.WithReplicas(func() []voters.Replica { return knownReplicas(view, common.Process, leaving.Load(), s) }),
			replica.WithFailure(failed),
		)
	})
	if err != nil {
		return logReplica{}, err
	}
	lifecycle.Append(fx.StopHook(supervisor.Close))
	return logReplica{Supervisor: supervisor, id: identity.GetId(), leaving: leaving}, nil
}

func replicaSettings(s *schema.PlatformSettings, identity *schema.ReplicaIdentity) replica.Settings {
	firstVoters := map[figbank.ProcessID]figbank.Address{}
	for _, v := range identity.GetVoters() {
		firstVoters[figbank.ProcessID(v.GetId())] = figbank.Address(v.GetAddress())
	}
	return replica.Settings{
		Timing: raft.Timing{
			ElectionTimeout:   s.GetLog().GetElectionTimeout().AsDuration(),
			HeartbeatInterval: s.GetLog().GetHeartbeatInterval().AsDuration(),
		},
		SnapshotEntries: int(s.GetLog().GetSnapshotEntries()),
		LostDisks:       int(s.GetBounds().GetLostDisks()),
		Voters:          firstVoters,
		Address:         settings.ProcessAddress(s.GetProcess()),
	}
}

// awaitIdentity returns the replica's identity. A disk that is full for a moment does not end the process: it tries
// again for up to identityPatience.
func awaitIdentity(common figbank.Common, folder figbank.Disk, s *schema.PlatformSettings) (*schema.ReplicaIdentity, error) {
	began := common.Clock.Now()
	for {
		identity, err := loadOrCreateIdentity(folder, s)
		if err == nil || errors.As(err, new(figbank.CorruptError)) || common.Clock.Now().Sub(began) >= identityPatience {
			return identity, err
		}
		common.Log.Warn("replica: the disk does not take the identity, trying again", figbank.ErrorField(err))
		<-common.Clock.After(identityRetryDelay)
	}
}

// loadOrCreateIdentity returns the identity stored on the disk, or creates and stores one if the
// disk is empty. Bootstrap is set when the whole deployment starts for the first time: the
// replicas at the seeds then become the first voters of a new log. Any other replica with an
// empty disk gets a new id and waits to be added to the log.
func loadOrCreateIdentity(folder figbank.Disk, s *schema.PlatformSettings) (*schema.ReplicaIdentity, error) {
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

// knownReplicas returns this replica and the other replicas in the view whose replica id is
// known. Those that only a lost process has reported are marked.
func knownReplicas(view *feed.View, self figbank.ProcessID, leaving bool, s *schema.PlatformSettings) []voters.Replica {
	replicas := []voters.Replica{{
		ID: self, Address: settings.ProcessAddress(s.GetProcess()),
		Domain: figbank.FailureDomain(s.GetProcess().GetFailureDomain()), Leaving: leaving,
	}}
	current := map[string]bool{}
	for _, member := range view.CurrentMembers() {
		current[member.GetId()] = true
	}
	for _, member := range view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA && member.GetReplicaId() != "" && member.GetId() != s.GetProcess().GetId() {
			replicas = append(replicas, voters.Replica{
				ID: figbank.ProcessID(member.GetReplicaId()), Address: figbank.Address(member.GetAddress()),
				Domain: figbank.FailureDomain(member.GetFailureDomain()), Leaving: member.GetLeaving(),
				LastKnown: !current[member.GetId()],
			})
		}
	}
	return replicas
}

// announceReplica announces this process's replica id to the other processes. When the process
// stops, its stop hook announces that the replica is leaving. The hook then waits up to 3 s, so
// that a spare replica can replace this one as a voter while this one still runs. A replica that still leads
// then hands the lead over.
func announceReplica(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, r logReplica,
	view *feed.View, subscriber *feed.Subscriber,
) {
	self := memberOf(s, schema.MemberRole_MEMBER_ROLE_REPLICA)
	self.ReplicaId = r.id
	view.ReportPosition(r.Position)
	subscriber.SetMember(self)
	lifecycle.Append(fx.StopHook(func() {
		leaving := memberOf(s, schema.MemberRole_MEMBER_ROLE_REPLICA)
		leaving.ReplicaId, leaving.Leaving = r.id, true
		subscriber.SetMember(leaving)
		r.leaving.Store(true)
		common.Log.Info("replica: stopping", zap.String("id", r.id))
		for range leavePolls {
			if !r.NeedsSuccessor(knownReplicas(view, figbank.ProcessID(r.id), true, s)) {
				break
			}
			<-common.Clock.After(leavePollInterval)
		}
		r.HandOver()
	}))
}

// newPlatformProposer returns a client that proposes commands to the replicas in the view, to
// this process and to the replicas at the seeds.
func newPlatformProposer(common figbank.Common, s *schema.PlatformSettings, pool *transport.Pool, view *feed.View, r logReplica) figbank.Proposer {
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
		add(r.id, settings.ProcessAddress(s.GetProcess()))
		for _, seed := range seedAddresses(s) {
			add(string(seed), seed)
		}
		return endpoints
	}, replica.WithLeader(r.Leader), replica.WithLog(func() string { return view.Fleet().GetLog() }))
}

func expireLeases(lifecycle fx.Lifecycle, view *feed.View) {
	ctx, cancel := context.WithCancel(context.Background())
	go view.ExpireLeases(ctx)
	lifecycle.Append(fx.StopHook(cancel))
}

func serveReplica(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, r logReplica,
	view *feed.View, recorder *timeline.Recorder, meter *transport.Meter, _ *feed.Subscriber,
) error {
	listener, err := listen(s.GetProcess().GetListenProcesses())
	if err != nil {
		return err
	}
	handlers := transport.Handlers{
		schema.StreamKind_STREAM_KIND_FEED:    view.Serve,
		schema.StreamKind_STREAM_KIND_INSPECT: recorder.Serve,
		schema.StreamKind_STREAM_KIND_RAFT:    r.ServeRaft,
		schema.StreamKind_STREAM_KIND_PROPOSE: r.ServePropose,
	}
	server := transport.NewServer(common, listener, handlers, transport.WithMeter(meter))
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

// serveControl serves the control API to operators and upstreams. It also keeps the number of
// gateways that the log records up to date.
func serveControl(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, proposer figbank.Proposer,
	view *feed.View, r logReplica, fleet *configuration.FleetHolder, leaves *control.Leaves,
) error {
	c := control.New(common, proposer, view, control.WithLeaves(leaves), control.WithHeld(func() (int64, []byte) {
		document := r.Document()
		return document.Number, document.Packed
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go c.CountGateways(ctx, r.IsLeader, fleet.Current)
	lifecycle.Append(fx.StopHook(cancel))
	api := platform.NewControlServer(common, c)
	common.Log.Info("replica: started", zap.String("control", s.GetNode().GetListenControl()))
	return serveHTTP(lifecycle, common, s.GetNode().GetListenControl(), api.Handler())
}
