// Package replica runs one replica of the replicated log. It connects the raft
// algorithm with the log on disk (wal), the state machine (ledger) and the network.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/condition"
	"figbank/ledger"
	"figbank/raft"
	"figbank/schema"
	"figbank/transport"
	"figbank/voters"
	"figbank/wal"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// inboxLength is the capacity of the queue of messages and proposals that wait for run, and of
	// each sender's queue of messages.
	inboxLength = 1024
	// maxBatch bounds how many further inputs are handled together with a first one. One sync makes
	// all of them durable.
	maxBatch = 256
	// ticksPerHeartbeat is the number of raft ticks in a heartbeat interval.
	ticksPerHeartbeat = 2
)

type (
	// Settings configure one replica.
	Settings struct {
		Timing raft.Timing
		// SnapshotEntries is the number of applied entries after which the replica takes a
		// snapshot and compacts its log.
		SnapshotEntries int
		// LostDisks is the number of replicas that may lose their disks at once.
		LostDisks int
		// RewriteLog makes the replica rewrite its log at the start. That is needed after a
		// failed sync, when it is unknown which pages have reached the disk.
		RewriteLog bool
		// Voters maps the initial voters to their process addresses. It is empty on a
		// replica that will be added later.
		Voters map[figbank.ProcessID]figbank.Address
		// Address is where the other replicas reach this one.
		Address figbank.Address
	}

	// Replica is one member of the replicated log. It is safe for concurrent use.
	Replica struct {
		common   figbank.Common
		settings Settings
		node     *raft.Node
		log      *wal.Log
		disk     figbank.Disk
		state    *ledger.State
		pool     *transport.Pool
		random   *rand.Rand
		senders  map[figbank.ProcessID]*sender
		// deliver sends a message to another replica. It is the method send, except in
		// simulations.
		deliver func(context.Context, *schema.RaftMessage)
		// addresses holds the addresses that other replicas sent with their messages.
		addresses map[figbank.ProcessID]figbank.Address
		inbox     chan input
		// pending holds the proposals in the log that are not applied yet, by their index.
		pending map[uint64]proposal
		// unconfirmed holds the results of commands that are applied here, of which the other replicas may
		// not know yet that they are committed.
		unconfirmed []unconfirmedResult
		// reads holds the reads that wait until a quorum confirms that this replica leads.
		reads []pendingRead
		// sinceSnapshot counts entries applied since the last snapshot.
		sinceSnapshot int

		knownReplicas func() []voters.Replica
		nextReview    time.Time
		// failedLearners holds when a learner was dropped that had never answered.
		failedLearners map[figbank.ProcessID]time.Time
		// storedName is the name of the log that is on the disk.
		storedName string
		// strangers holds the replicas of other logs that have sent a message.
		strangers       map[string]bool
		onConfiguration func(*schema.Configuration)
		onFleet         func(*schema.Fleet)
		onLeaves        func([]*schema.Instance)
		onDuties        func([]*schema.DutyRecord)
		onFailure       func(error)

		status atomic.Pointer[schema.ReplicaStatus]
		// document is the newest traffic document that this replica has applied.
		document atomic.Pointer[Document]
		members  atomic.Pointer[schema.Membership]
		delays   delayMeter

		leaderWatch condition.Watch
		// leaderless is for how many seconds this replica has known no leader.
		leaderless tally.Gauge

		cancel  context.CancelFunc
		group   sync.WaitGroup
		stopped chan struct{}
	}

	// input is a message from another replica, a proposal, or the order to hand the lead over.
	input struct {
		message  *schema.RaftMessage
		proposal proposal
		handOver bool
	}

	proposal struct {
		command *schema.Command
		term    uint64
		answer  chan *schema.ProposeAnswer
	}
)

// NewReplica loads the state from disk and starts the replica.
func NewReplica(common figbank.Common, settings Settings, disk figbank.Disk, pool *transport.Pool, options ...Option) (*Replica, error) {
	r, err := open(common, settings, disk, pool, options...)
	if err != nil {
		return nil, err
	}
	r.start()
	return r, nil
}

// open loads the state from disk. The replica does nothing until start.
func open(common figbank.Common, settings Settings, disk figbank.Disk, pool *transport.Pool, options ...Option) (*Replica, error) {
	common = common.Named("replica")
	log, stored, err := wal.Open(disk)
	if err != nil {
		return nil, err
	}
	if settings.RewriteLog {
		if err := log.Rewrite(stored.HardState, stored.Snapshot, stored.Entries); err != nil {
			_ = log.Close()
			return nil, err
		}
	}
	state, err := ledger.Restore(stored.Snapshot)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		common: common, settings: settings, log: log, disk: disk, state: state,
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // randomizes election timeouts, no secret
		pool:            pool,
		senders:         map[figbank.ProcessID]*sender{},
		addresses:       map[figbank.ProcessID]figbank.Address{},
		inbox:           make(chan input, inboxLength),
		pending:         map[uint64]proposal{},
		failedLearners:  map[figbank.ProcessID]time.Time{},
		strangers:       map[string]bool{},
		onConfiguration: func(*schema.Configuration) {},
		onFleet:         func(*schema.Fleet) {},
		onLeaves:        func([]*schema.Instance) {},
		onDuties:        func([]*schema.DutyRecord) {},
		onFailure:       func(error) {},
		stopped:         make(chan struct{}),
		leaderWatch:     condition.Watch{Patience: leaderlessPatience, Interval: leaderlessInterval},
		leaderless:      common.Scope.Gauge("leaderless_seconds"),
	}
	if err := r.readLogName(); err != nil {
		_ = log.Close()
		return nil, err
	}
	r.deliver = r.send
	for _, option := range options {
		option(r)
	}
	r.node = raft.NewNode(common.Process, initialMembership(settings), settings.Timing, r.random, stored, common.Clock.Now())
	r.node.SetFounding(newFounding(common.Clock.Now()))
	r.publishStatus()
	return r, nil
}

// Status returns the replica's current role and progress.
func (r *Replica) Status() *schema.ReplicaStatus {
	return r.status.Load()
}

// TakeDelays returns the longest delays since its last call.
func (r *Replica) TakeDelays() Delays {
	return r.delays.take()
}

// Close stops the replica. Everything it has accepted is on its disk.
func (r *Replica) Close() {
	r.cancel()
	r.group.Wait()
	_ = r.log.Close()
}

func (r *Replica) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.onConfiguration(r.state.Configuration())
	r.onFleet(r.state.Fleet())
	r.reportLeaves()
	r.reportDuties()
	r.group.Go(func() { r.run(ctx) })
}

func (r *Replica) run(ctx context.Context) {
	defer close(r.stopped)
	interval := r.settings.Timing.HeartbeatInterval / ticksPerHeartbeat
	ticks, stop := r.common.Clock.Tick(interval)
	defer stop()
	due := r.common.Clock.Now().Add(interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			now := r.common.Clock.Now()
			raise(&r.delays.tick, now.Sub(due))
			due = now.Add(interval)
			r.node.Tick(now)
			r.reviewMembers()
			r.watchLeader(now)
		case first := <-r.inbox:
			r.handleBatch(first)
		}
		if err := r.processReady(ctx); err != nil {
			r.common.Log.Error("disk failed, replica stopped", figbank.ErrorField(err))
			r.onFailure(err)
			return
		}
		r.answerWaiting()
		r.publishStatus()
	}
}

// answerWaiting answers what waits for a state that this replica has reached by now.
func (r *Replica) answerWaiting() {
	r.answerReads()
	r.answerConfirmed()
	r.releasePending()
}

// releasePending answers all pending proposals once this replica no longer leads.
// The next leader may still commit them, so the answer is that the outcome is
// unknown, and the proposers repeat their commands.
func (r *Replica) releasePending() {
	if r.node.Role() == raft.Leader {
		return
	}
	for index, p := range r.pending {
		delete(r.pending, index)
		p.answer <- &schema.ProposeAnswer{Unknown: true, Leader: string(r.node.Leader())}
	}
}

// handleBatch handles first and up to maxBatch further inputs that have arrived, so that
// one sync covers them all.
func (r *Replica) handleBatch(first input) {
	now := r.common.Clock.Now()
	r.handleInput(now, first)
	for range maxBatch {
		select {
		case next := <-r.inbox:
			r.handleInput(now, next)
		default:
			return
		}
	}
}

func (r *Replica) handleInput(now time.Time, in input) {
	if in.handOver {
		asked := r.node.HandOver(now)
		r.common.Log.Info("handing the lead over", zap.Bool("asked", asked))
		return
	}
	if in.message != nil {
		if r.isForeign(in.message.GetLog()) {
			r.noteStranger(in.message)
			return
		}
		if address := in.message.GetFromAddress(); address != "" {
			r.addresses[figbank.ProcessID(in.message.GetFrom())] = figbank.Address(address)
		}
		r.node.Step(now, in.message)
		return
	}
	if r.isForeign(in.proposal.command.GetForLog()) {
		in.proposal.answer <- &schema.ProposeAnswer{NotLeader: true}
		return
	}
	in.proposal.command.ForLog = ""
	if read := in.proposal.command.GetReadTraffic(); read != nil {
		r.beginRead(now, read, in.proposal.answer)
		return
	}
	in.proposal.command.TimeUnixNano = now.UnixNano()
	data, err := proto.Marshal(in.proposal.command)
	if err != nil {
		in.proposal.answer <- &schema.ProposeAnswer{NotLeader: true}
		return
	}
	index, term, err := r.node.Propose(now, data)
	if err != nil {
		in.proposal.answer <- &schema.ProposeAnswer{NotLeader: true, Leader: string(r.node.Leader())}
		return
	}
	in.proposal.term = term
	r.pending[index] = in.proposal
}
