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
	callerKey   = "key"
	domain      = "a"
	waitTimeout = 10 * time.Second
)

type (
	// harness runs one gateway with real agents over TCP. Each test provides the
	// handlers of the back ends.
	harness struct {
		t         testing.TB
		holder    *configuration.Holder
		gateway   *Gateway
		server    *httptest.Server
		proposer  *fake.Proposer
		agents    []*agent.Agent
		common    figbank.Common
		pool      *transport.Pool
		settings  Settings
		index     uint64
		upstreams []*schema.Upstream
	}

	// result is what a caller gets in response to a request. Incomplete is set if the
	// connection ended before a complete response arrived.
	result struct {
		status     int
		outcome    string
		body       string
		header     http.Header
		incomplete bool
	}
)

func newHarness(t testing.TB, change func(*Settings)) *harness {
	t.Helper()
	recorder := timeline.NewRecorder("g", clock.System{}, 64)
	common := figbank.Common{Process: "g", Log: zap.NewNop(), Clock: clock.System{}, Recorder: recorder, Scope: tally.NoopScope}
	sum := sha256.Sum256([]byte(callerKey))
	settings := Settings{
		Relay: relay.Settings{
			Location: routing.Location{Region: "r", FailureDomain: domain}, StreamWindow: 32 << 10,
			QueueLength: 16, QueueAge: 300 * time.Millisecond, Deadline: waitTimeout, RetryShare: 100,
		},
		MaxBody: 1 << 20, MaxBufferedBytes: 64 << 20,
		CallerKeys: map[string]figbank.Workspace{hex.EncodeToString(sum[:]): "w"},
	}
	if change != nil {
		change(&settings)
	}
	h := &harness{
		t: t, holder: configuration.NewHolder(recorder), proposer: fake.NewProposer(clock.System{}),
		common: common, pool: transport.NewPool(common), settings: settings,
	}
	h.gateway = New(common, settings, h.holder, h.pool, h.proposer, func() bool { return true })
	h.server = httptest.NewServer(h.gateway.Handler())
	t.Cleanup(h.close)
	return h
}

func (h *harness) close() {
	h.server.Close()
	h.gateway.Close()
	h.pool.Close()
}

// declare sets a configuration with one plain or model service. The failure
// domains listed in out are marked as out of service.
func (h *harness) declare(declared *schema.ServiceDeclaration, out ...string) {
	h.index++
	declared.FailureDomains = []string{domain}
	declared.Workspaces = []string{"*"}
	c := &schema.Configuration{CommitIndex: h.index, Services: []*schema.ServiceInForce{{
		Current: &schema.Accepted{
			CommitIndex: h.index,
			Declaration: &schema.Declaration{Subject: &schema.Declaration_Service{Service: declared}},
		},
	}}}
	for _, name := range out {
		c.FailureDomains = append(c.FailureDomains, &schema.Accepted{Declaration: &schema.Declaration{
			Subject: &schema.Declaration_FailureDomain{FailureDomain: &schema.FailureDomainDeclaration{Name: name, State: "Out"}},
		}})
	}
	h.holder.Offer(c)
}

func plain(repeatable bool) *schema.ServiceDeclaration {
	return &schema.ServiceDeclaration{Name: "s", Kind: kindPlain, Repeatable: repeatable}
}

func model() *schema.ServiceDeclaration {
	return &schema.ServiceDeclaration{Name: "s", Kind: kindModel, Manifest: "v1", Repeatable: true}
}

// addAgent starts an agent for a back end, waits until it is ready, and adds it
// to routing.
func (h *harness) addAgent(backend figbank.Engine, capacity figbank.Cost) {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	common := h.common
	common.Process = figbank.ProcessID(fmt.Sprintf("u%d", len(h.agents)))
	a := agent.New(common, agent.Settings{
		Service: "s", Plain: true, Address: figbank.Address(listener.Addr().String()),
		Capacity: capacity, FirstLimit: capacity, AnnounceInterval: time.Second, PollInterval: 20 * time.Millisecond,
	}, agent.Location{Region: "r", FailureDomain: domain}, backend, h.holder, h.pool,
		agent.Weights{Active: &transfer.Active{}}, agent.NewPeers())
	server := transport.NewServer(common, listener, transport.Handlers{schema.StreamKind_STREAM_KIND_CALL: a.ServeCall})
	h.t.Cleanup(func() {
		a.Close()
		server.Close()
	})
	h.agents = append(h.agents, a)
	h.waitFor("the agent to be ready", func() bool { return a.Record().GetState() == schema.UpstreamState_UPSTREAM_STATE_READY })
	h.updateRouting()
}

// updateRouting passes the agents' current records to the gateway's routing.
func (h *harness) updateRouting() {
	h.upstreams = nil
	for _, a := range h.agents {
		h.upstreams = append(h.upstreams, a.Record())
	}
	h.gateway.Relay().SetUpstreams(h.upstreams)
}

func (h *harness) waitFor(description string, condition func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("timed out waiting for %s (%v)", description, waitTimeout)
		}
	}
}

// send sends one request to the gateway. If key is empty, it sends no idempotency key.
func (h *harness) send(method, path, key, body string) result {
	h.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		request.Header.Set(headerIdempotencyKey, key)
	}
	response, err := h.server.Client().Do(request)
	if err != nil {
		return result{incomplete: true}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, outcome: response.Header.Get(headerOutcome),
		body: string(content), header: response.Header, incomplete: err != nil,
	}
}

// backend is a back end that runs a handler for each request and counts the runs.
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
			content, _ := engine.MarshalOptions.Marshal(&schema.EngineStatus{Incarnation: "i", Ready: true, Manifest: "v1"})
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

// crash closes the connection without a response, as if the back end had crashed
// after it ran the request.
func crash(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
