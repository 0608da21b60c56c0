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

const testTimeout = 20 * time.Second

type (
	// cluster is three replicas over TCP. Each has a disk that loses unsynced writes
	// when its replica is killed.
	cluster struct {
		t       *testing.T
		members []*member
		client  *Client
	}

	member struct {
		id             figbank.ProcessID
		address        figbank.Address
		disk           *fake.Disk
		replica        *Replica
		server         *transport.Server
		pool           *transport.Pool
		failed         chan error
		configurations chan *schema.Configuration
	}
)

func common(process figbank.ProcessID) figbank.Common {
	return figbank.Common{
		Process: process, Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(process, clock.System{}, 64),
	}
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	g := &cluster{t: t}
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

func (g *cluster) start(m *member) {
	g.t.Helper()
	m.pool = transport.NewPool(common(m.id))
	m.failed, m.configurations = make(chan error, 1), make(chan *schema.Configuration, 1024)
	replica, err := NewReplica(common(m.id), Settings{
		Timing:          raft.Timing{ElectionTimeout: 200 * time.Millisecond, HeartbeatInterval: 40 * time.Millisecond},
		SnapshotEntries: 50, Voters: g.voters(),
	}, m.disk, m.pool,
		WithConfiguration(func(c *schema.Configuration) { m.configurations <- c }),
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

func (g *cluster) voters() map[figbank.ProcessID]figbank.Address {
	voters := map[figbank.ProcessID]figbank.Address{}
	for _, m := range g.members {
		voters[m.id] = m.address
	}
	return voters
}

// kill stops a replica at once and drops what its disk has not synced.
func (g *cluster) kill(m *member) {
	if m.replica == nil {
		return
	}
	m.server.Close()
	m.replica.Close()
	m.pool.Close()
	m.replica = nil
	m.disk.Crash(0)
}

func (g *cluster) leader() *member {
	g.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, m := range g.members {
			if m.replica != nil && m.replica.Status().GetRole() == raft.Leader.String() {
				return m
			}
		}
	}
	g.t.Fatal("no leader was elected")
	return nil
}

func publish(revision int64) *schema.Command {
	return &schema.Command{Action: &schema.Command_Publish{Publish: &schema.Publish{Declarations: []*schema.Declaration{
		{Subject: &schema.Declaration_FailureDomain{FailureDomain: &schema.FailureDomainDeclaration{Name: "a", Revision: revision, State: "In"}}},
	}}}}
}

func (g *cluster) mustPublish(revision int64) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// awaitRevision waits until a member's configuration has at least revision want.
func (g *cluster) awaitRevision(m *member, want int64) {
	g.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case c := <-m.configurations:
			got := ledger.FindAccepted(c, "failure domain a").GetDeclaration().GetFailureDomain().GetRevision()
			if got >= want {
				return
			}
		case <-timeout:
			g.t.Fatalf("%s did not reach revision %d", m.id, want)
		}
	}
}

func TestAcceptedCommandsSurviveCrashes(t *testing.T) {
	g := newCluster(t)
	revision := int64(0)
	accept := func(count int) {
		for range count {
			revision++
			g.mustPublish(revision)
		}
	}
	accept(5)
	// The leader is killed. The others accept commands without it, and after its restart
	// it catches up from a snapshot.
	old := g.leader()
	g.kill(old)
	accept(120)
	g.start(old)
	g.awaitRevision(old, revision)
	// All replicas are killed together. No accepted command may be lost.
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
	g := newCluster(t)
	g.mustPublish(1)
	isolated := g.leader()
	for _, m := range g.members {
		if m != isolated {
			g.kill(m)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	// The first command may reach the leader before it notices that it is alone.
	if _, err := g.client.Propose(ctx, publish(2)); err == nil {
		t.Error("Propose() without a majority = nil, want an error")
	}
	// The replica holds the entry of that command, but must not commit it. A command is refused
	// for certain unless its caller's time ends while an attempt is under way.
	committed := isolated.replica.Status().GetCommit()
	refused := false
	for give := time.Now().Add(testTimeout); !refused && time.Now().Before(give); {
		later, cancelLater := context.WithTimeout(context.Background(), time.Second)
		_, err := g.client.Propose(later, publish(3))
		ended := later.Err() != nil
		cancelLater()
		refused = errors.As(err, new(figbank.NotAcceptedError))
		if !refused && (err == nil || !ended) {
			t.Fatalf("Propose() after the leader has stepped down = %v, want NotAcceptedError", err)
		}
	}
	if !refused {
		t.Error("Propose() never returned NotAcceptedError")
	}
	if got := isolated.replica.Status().GetCommit(); got != committed {
		t.Errorf("commit index without a majority = %d, want %d as before", got, committed)
	}
}

func TestFailedSyncStopsTheReplica(t *testing.T) {
	g := newCluster(t)
	g.mustPublish(1)
	broken := g.leader()
	broken.disk.FailSyncs()
	g.mustPublish(2)
	select {
	case err := <-broken.failed:
		if !errors.As(err, new(fake.SyncError)) {
			t.Errorf("failure = %v, want SyncError", err)
		}
	case <-time.After(testTimeout):
		t.Error("the replica did not stop after a failed sync")
	}
}

func TestConcurrentOperatorsConflict(t *testing.T) {
	g := newCluster(t)
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
	// All operators who proposed the content that was accepted get the same answer.
	if accepted != operators/2 {
		t.Errorf("accepted = %d, want the %d operators who proposed the accepted content", accepted, operators/2)
	}
}

// The host of the leader freezes: connections to it stay open and nothing answers. Each call of an
// operator, who waits a second and then asks again, was spent on waiting for it, though the others
// had elected another leader long since. The commands come through a replica that knows.
func TestProposalsLeaveALeaderThatIsSilent(t *testing.T) {
	const callTimeout, acknowledgeTimeout = time.Second, 6 * time.Second
	g := newCluster(t)
	g.mustPublish(1)
	lost := g.leader()
	observer := g.members[0]
	if observer == lost {
		observer = g.members[1]
	}
	var endpoints []Endpoint
	for _, m := range g.members {
		endpoints = append(endpoints, Endpoint{ID: m.id, Address: m.address})
	}
	observed := observer.replica
	client := NewClient(common("operator"), observer.pool, func() []Endpoint { return endpoints },
		WithLeader(func() figbank.ProcessID { return figbank.ProcessID(observed.Status().GetLeader()) }))
	if _, err := client.Propose(context.Background(), publish(2)); err != nil {
		t.Fatalf("Propose() = %v", err)
	}
	g.kill(lost)
	silent, err := net.Listen("tcp", string(lost.address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for give := time.Now().Add(acknowledgeTimeout); time.Now().Before(give); {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err = client.Propose(ctx, publish(3))
		cancel()
		if err == nil {
			return
		}
	}
	t.Errorf("Propose() = %v within %v after the leader fell silent, want it accepted", err, acknowledgeTimeout)
}
