package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/fake"
	"figbank/ledger"
	"figbank/raft"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transport"
)

const patience = 20 * time.Second

type (
	// group is three replicas over TCP, each with a disk that forgets what was
	// not synced when its replica is killed.
	group struct {
		t       *testing.T
		members []*member
		client  *Client
	}

	member struct {
		id      figbank.ProcessID
		address figbank.Address
		disk    *fake.Disk
		replica *Replica
		server  *transport.Server
		pool    *transport.Pool
		failed  chan error
		last    chan *schema.Configuration
	}
)

func common(process figbank.ProcessID) figbank.Common {
	return figbank.Common{
		Process: process, Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(process, clock.System{}, 64),
	}
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t}
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = listener.Close()
		g.members = append(g.members, &member{
			id: figbank.ProcessID(fmt.Sprintf("r%d", i)), address: figbank.Address(listener.Addr().String()), disk: fake.NewDisk(),
		})
	}
	var endpoints []Endpoint
	for _, m := range g.members {
		endpoints = append(endpoints, Endpoint{ID: m.id, Address: m.address})
		g.start(m)
	}
	pool := transport.NewPool(common("client"))
	g.client = NewClient(common("client"), pool, func() []Endpoint { return endpoints })
	t.Cleanup(func() {
		pool.Close()
		for _, m := range g.members {
			g.kill(m)
		}
	})
	return g
}

func (g *group) start(m *member) {
	g.t.Helper()
	m.pool = transport.NewPool(common(m.id))
	m.failed, m.last = make(chan error, 1), make(chan *schema.Configuration, 1024)
	replica, err := NewReplica(common(m.id), Settings{
		Timing:          raft.Timing{ElectionTimeout: 200 * time.Millisecond, HeartbeatInterval: 40 * time.Millisecond},
		SnapshotEntries: 50, Voters: g.voters(),
	}, m.disk, m.pool,
		WithConfiguration(func(c *schema.Configuration) { m.last <- c }),
		WithFailure(func(err error) { m.failed <- err }))
	if err != nil {
		g.t.Fatalf("NewReplica() = %v", err)
	}
	m.replica = replica
	listener, err := net.Listen("tcp", string(m.address))
	if err != nil {
		g.t.Fatal(err)
	}
	m.server = transport.NewServer(common(m.id), listener, transport.Handlers{
		schema.StreamKind_STREAM_KIND_RAFT:    replica.ServeRaft,
		schema.StreamKind_STREAM_KIND_PROPOSE: replica.ServePropose,
	})
}

func (g *group) voters() map[figbank.ProcessID]figbank.Address {
	voters := map[figbank.ProcessID]figbank.Address{}
	for _, m := range g.members {
		voters[m.id] = m.address
	}
	return voters
}

// kill stops a replica at once and drops what its disk has not synced.
func (g *group) kill(m *member) {
	if m.replica == nil {
		return
	}
	m.server.Close()
	m.replica.Close()
	m.pool.Close()
	m.replica = nil
	m.disk.Crash(0)
}

func (g *group) leader() *member {
	g.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, m := range g.members {
			if m.replica != nil && m.replica.Status().GetRole() == raft.Leader.String() {
				return m
			}
		}
	}
	g.t.Fatal("no leader")
	return nil
}

func publish(revision int64) *schema.Command {
	return &schema.Command{Action: &schema.Command_Publish{Publish: &schema.Publish{Declarations: []*schema.Declaration{
		{Subject: &schema.Declaration_FailureDomain{FailureDomain: &schema.FailureDomainDeclaration{Name: "a", Revision: revision, State: "In"}}},
	}}}}
}

func (g *group) mustPublish(revision int64) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		var result *schema.Result
		if result, err = g.client.Propose(ctx, publish(revision)); err == nil {
			if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
				g.t.Fatalf("revision %d refused: %v", revision, result)
			}
			return
		}
	}
	g.t.Fatalf("Propose(%d) = %v", revision, err)
}

// awaitRevision waits until a member's configuration has a revision at least want.
func (g *group) awaitRevision(m *member, want int64) {
	g.t.Helper()
	timeout := time.After(patience)
	for {
		select {
		case c := <-m.last:
			got := ledger.Find(c, "failure domain a").GetDeclaration().GetFailureDomain().GetRevision()
			if got >= want {
				return
			}
		case <-timeout:
			g.t.Fatalf("%s does not reach revision %d", m.id, want)
		}
	}
}

func TestNothingAcceptedIsForgotten(t *testing.T) {
	g := newGroup(t)
	revision := int64(0)
	accept := func(count int) {
		for range count {
			revision++
			g.mustPublish(revision)
		}
	}
	accept(5)
	// The leader dies: the others go on, and it catches up by a snapshot.
	old := g.leader()
	g.kill(old)
	accept(120)
	g.start(old)
	g.awaitRevision(old, revision)
	// All die together: everything accepted is still there.
	for _, m := range g.members {
		g.kill(m)
	}
	for _, m := range g.members {
		g.start(m)
	}
	accept(1)
	for _, m := range g.members {
		g.awaitRevision(m, revision)
	}
}

func TestMinorityAcceptsNothing(t *testing.T) {
	g := newGroup(t)
	g.mustPublish(1)
	lone := g.leader()
	for _, m := range g.members {
		if m != lone {
			g.kill(m)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	// The first may have reached the leader before it noticed that it is alone.
	if _, err := g.client.Propose(ctx, publish(2)); err == nil {
		t.Error("Propose() on the minority side = nil, want a failure")
	}
	later, cancelLater := context.WithTimeout(context.Background(), time.Second)
	defer cancelLater()
	if _, err := g.client.Propose(later, publish(3)); !errors.As(err, new(figbank.NotAcceptedError)) {
		t.Errorf("Propose() once the leader has stepped down = %v, want NotAcceptedError", err)
	}
}

func TestFailedSyncStopsTheReplica(t *testing.T) {
	g := newGroup(t)
	g.mustPublish(1)
	broken := g.leader()
	broken.disk.FailSyncs()
	g.mustPublish(2)
	select {
	case err := <-broken.failed:
		if !errors.As(err, new(fake.SyncError)) {
			t.Errorf("failure = %v, want SyncError", err)
		}
	case <-time.After(patience):
		t.Error("replica with a failed sync goes on")
	}
}

func TestRacingOperators(t *testing.T) {
	g := newGroup(t)
	const operators = 8
	results := make(chan schema.Refusal, operators)
	for i := range operators {
		go func() {
			command := publish(1)
			state := []string{"In", "Out"}[i%2]
			command.GetPublish().GetDeclarations()[0].GetFailureDomain().State = state
			result, err := g.client.Propose(context.Background(), command)
			if err != nil {
				t.Errorf("Propose() = %v", err)
			}
			results <- result.GetRefusal()
		}()
	}
	accepted := 0
	for range operators {
		switch got := <-results; got {
		case schema.Refusal_REFUSAL_NONE:
			accepted++
		case schema.Refusal_REFUSAL_CONFLICT:
		default:
			t.Errorf("refusal = %v, want none or conflict", got)
		}
	}
	// All who offered the content that won get the same answer.
	if accepted != operators/2 {
		t.Errorf("accepted = %d, want the %d who offered what won", accepted, operators/2)
	}
}
