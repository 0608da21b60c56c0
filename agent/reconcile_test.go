package agent

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/engine"
	"figbank/schema"
	"figbank/swarm"
	"figbank/timeline"
	"figbank/transfer"
	"figbank/transport"
	"figbank/weights"
)

// refusingEngine refuses all orders.
type refusingEngine struct {
	figbank.Engine
	orders atomic.Int64
}

func (*refusingEngine) Status(context.Context) (*schema.EngineStatus, error) {
	return &schema.EngineStatus{Incarnation: "i"}, nil
}

func (e *refusingEngine) Load(context.Context, *schema.LoadOrder) error {
	e.orders.Add(1)
	return engine.StaleOrderError{Fencing: 1}
}

// completeVersion stores a version of one small file and returns its digest.
func completeVersion(t *testing.T, store *weights.Store) figbank.ManifestDigest {
	t.Helper()
	folder := t.TempDir()
	content := []byte("weights")
	if err := os.WriteFile(filepath.Join(folder, "model"), content, 0o600); err != nil {
		t.Fatal(err)
	}
	manifest, err := weights.Build(folder)
	if err != nil {
		t.Fatal(err)
	}
	encoded, digest, err := weights.Marshal(manifest)
	if err != nil {
		t.Fatal(err)
	}
	partial, err := store.Begin(encoded, digest)
	if err != nil {
		t.Fatal(err)
	}
	if err := partial.Put(0, content); err != nil {
		t.Fatal(err)
	}
	if _, err := partial.Finalize(); err != nil {
		t.Fatal(err)
	}
	return digest
}

// An engine that refuses its order must be asked again with growing pauses. Each order changes
// the agent's announced state, and that change must not start the next order at once.
func TestRefusedOrderIsRepeatedWithPauses(t *testing.T) {
	const duration, mostOrders = 2 * time.Second, 15
	store, err := weights.OpenStore(t.TempDir(), weights.WithoutSync())
	if err != nil {
		t.Fatal(err)
	}
	digest := completeVersion(t, store)
	common := figbank.Common{
		Process: "a", Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder("a", clock.System{}, 100),
	}
	pool := transport.NewPool(common)
	active := &transfer.Active{}
	noPeers := func() ([]swarm.Peer, <-chan struct{}) { return nil, nil }
	fetcher := transfer.NewFetcher(common, transfer.Settings{}, store, active, pool, nil, noPeers)
	holder := configuration.NewHolder(common.Recorder)
	refusing := &refusingEngine{}
	a := New(common, Settings{Service: "s", PollInterval: 10 * time.Millisecond}, Location{FailureDomain: "z"}, refusing,
		holder, pool, Weights{Store: store, Fetcher: fetcher, Active: active}, NewPeers())
	defer a.Close()
	close(a.gatewayAnswered)
	holder.Offer(&schema.Configuration{CommitIndex: 1, Services: []*schema.ServiceInForce{{
		Current: &schema.Accepted{CommitIndex: 1, Declaration: &schema.Declaration{Subject: &schema.Declaration_Service{
			Service: &schema.ServiceDeclaration{Name: "s", Manifest: string(digest), FailureDomains: []string{"z"}},
		}}},
	}}})
	time.Sleep(duration)
	if got := refusing.orders.Load(); got < 2 || got > mostOrders {
		t.Errorf("orders in %v = %d, want 2 to %d", duration, got, mostOrders)
	}
}
