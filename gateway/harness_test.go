package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/agent"
	"figbank/clock"
	"figbank/configuration"
	"figbank/engine"
	"figbank/fake"
	"figbank/relay"
	"figbank/routing"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transfer"
	"figbank/transport"
)

const (
	callerKey = "key"
	domain    = "a"
	patience  = 10 * time.Second
)

type (
	// bench is one gateway with real agents over TCP, and back ends that
	// misbehave as each test asks.
	bench struct {
		t         testing.TB
		holder    *configuration.Holder
		gateway   *Gateway
		front     *httptest.Server
		proposer  *fake.Proposer
		agents    []*agent.Agent
		common    figbank.Common
		pool      *transport.Pool
		settings  Settings
		index     uint64
		upstreams []*schema.Upstream
	}

	seen struct {
		status  int
		outcome string
		body    string
		header  http.Header
		cut     bool
	}
)

func newBench(t testing.TB, change func(*Settings)) *bench {
	t.Helper()
	recorder := timeline.NewRecorder("g", clock.System{}, 64)
	common := figbank.Common{Process: "g", Log: zap.NewNop(), Clock: clock.System{}, Recorder: recorder, Scope: tally.NoopScope}
	sum := sha256.Sum256([]byte(callerKey))
	settings := Settings{
		Relay: relay.Settings{
			Place: routing.Place{Region: "r", FailureDomain: domain}, StreamWindow: 32 << 10,
			QueueLength: 16, QueueAge: 300 * time.Millisecond, Deadline: patience, RetryShare: 20,
		},
		MaxBody: 1 << 20, MaxHeld: 64 << 20,
		CallerKeys: map[string]figbank.Workspace{hex.EncodeToString(sum[:]): "w"},
	}
	if change != nil {
		change(&settings)
	}
	b := &bench{
		t: t, holder: configuration.NewHolder(recorder), proposer: fake.NewProposer(clock.System{}),
		common: common, pool: transport.NewPool(common), settings: settings,
	}
	b.gateway = New(common, settings, b.holder, b.pool, b.proposer, func() bool { return true })
	b.front = httptest.NewServer(b.gateway.Handler())
	t.Cleanup(b.close)
	return b
}

func (b *bench) close() {
	b.front.Close()
	b.gateway.Close()
	b.pool.Close()
}

// declare puts one plain or model service in force.
func (b *bench) declare(declared *schema.ServiceDeclaration, out ...string) {
	b.index++
	declared.FailureDomains = []string{domain}
	declared.Workspaces = []string{"*"}
	c := &schema.Configuration{CommitIndex: b.index, Services: []*schema.ServiceInForce{{
		Current: &schema.Accepted{
			CommitIndex: b.index,
			Declaration: &schema.Declaration{Subject: &schema.Declaration_Service{Service: declared}},
		},
	}}}
	for _, name := range out {
		c.FailureDomains = append(c.FailureDomains, &schema.Accepted{Declaration: &schema.Declaration{
			Subject: &schema.Declaration_FailureDomain{FailureDomain: &schema.FailureDomainDeclaration{Name: name, State: "Out"}},
		}})
	}
	b.holder.Offer(c)
}

func plain(repeatable bool) *schema.ServiceDeclaration {
	return &schema.ServiceDeclaration{Name: "s", Kind: kindPlain, Repeatable: repeatable}
}

func model() *schema.ServiceDeclaration {
	return &schema.ServiceDeclaration{Name: "s", Kind: kindModel, Manifest: "v1", Repeatable: true}
}

// addAgent starts an agent before a back end, and waits until it is ready.
func (b *bench) addAgent(backend figbank.Engine, capacity figbank.Cost) {
	b.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	common := b.common
	common.Process = figbank.ProcessID(fmt.Sprintf("u%d", len(b.agents)))
	a := agent.New(common, agent.Settings{
		Service: "s", Plain: true, Address: figbank.Address(listener.Addr().String()),
		Capacity: capacity, FirstLimit: capacity, AnnounceInterval: time.Second, PollInterval: 20 * time.Millisecond,
	}, agent.Place{Region: "r", FailureDomain: domain}, backend, b.holder, b.pool,
		agent.Weights{Active: &transfer.Active{}}, agent.NewPeers())
	server := transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_CALL: a.ServeCall})
	b.t.Cleanup(func() {
		a.Close()
		server.Close()
	})
	b.agents = append(b.agents, a)
	b.await("agent ready", func() bool { return a.Record().GetState() == schema.UpstreamState_UPSTREAM_STATE_READY })
	b.hear()
}

// hear takes the agents' present announcements into routing.
func (b *bench) hear() {
	b.upstreams = nil
	for _, a := range b.agents {
		b.upstreams = append(b.upstreams, a.Record())
	}
	b.gateway.Relay().SetUpstreams(b.upstreams)
}

func (b *bench) await(what string, done func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("%s: not after %v", what, patience)
		}
	}
}

// send sends one request to the service; an empty key sends none.
func (b *bench) send(method, path, key, body string) seen {
	b.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, b.front.URL+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		request.Header.Set(headerIdempotencyKey, key)
	}
	response, err := b.front.Client().Do(request)
	if err != nil {
		return seen{cut: true}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return seen{
		status: response.StatusCode, outcome: response.Header.Get(headerOutcome),
		body: string(content), header: response.Header, cut: err != nil,
	}
}

// backend is a plain back end that runs handle for each call, and counts them.
type backend struct {
	runs   atomic.Int64
	server *httptest.Server
}

func newBackend(t testing.TB, handle http.HandlerFunc) (*backend, figbank.Engine) {
	t.Helper()
	b := &backend{}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case engine.HealthPath:
		case engine.StatusPath:
			content, _ := engine.Marshal.Marshal(&schema.EngineStatus{Incarnation: "i", Ready: true, Manifest: "v1"})
			_, _ = w.Write(content)
		default:
			b.runs.Add(1)
			handle(w, r)
		}
	}))
	t.Cleanup(b.server.Close)
	return b, engine.NewPlain(b.server.URL)
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "done")
}

// crash closes the connection without an answer, after the request has run.
func crash(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
