package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/schema"
	"figbank/timeline"
	"figbank/transfer"
	"figbank/transport"
)

// statusEngine reports the statuses in turn, and the last one ever after.
type statusEngine struct {
	figbank.Engine
	mu       sync.Mutex
	statuses []*schema.EngineStatus
	reported int
}

func (e *statusEngine) Status(context.Context) (*schema.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.statuses[min(e.reported, len(e.statuses)-1)]
	e.reported++
	return status, nil
}

// An engine's status came once without the engine's incarnation. It counted as a restart, after which the
// engine's own incarnation counted as an earlier one, and its statuses were ignored for good.
func TestStatusWithoutIncarnationIsNoRestart(t *testing.T) {
	sound := &schema.EngineStatus{Incarnation: "i", Ready: true, Manifest: "v1"}
	empty, other := &schema.EngineStatus{}, &schema.EngineStatus{Ready: true, Manifest: "v1"}
	scenarios := []struct {
		name     string
		statuses []*schema.EngineStatus
		want     figbank.Incarnation
	}{
		{name: "empty once", statuses: []*schema.EngineStatus{sound, sound, empty, sound}, want: "i"},
		{name: "empty for a while", statuses: []*schema.EngineStatus{sound, empty, empty, empty, sound}, want: "i"},
		{name: "ready, without its incarnation", statuses: []*schema.EngineStatus{sound, other, sound}, want: "i"},
		{name: "never with an incarnation", statuses: []*schema.EngineStatus{other}, want: "life 0"},
		{name: "no longer with an incarnation", statuses: []*schema.EngineStatus{sound, other}, want: "life 1"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			common := figbank.Common{
				Process: "a", Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
				Recorder: timeline.NewRecorder("a", clock.System{}, 100),
			}
			pool := transport.NewPool(common)
			defer pool.Close()
			a := New(common, Settings{Service: "s", Plain: true, Capacity: 1, FirstLimit: 1, PollInterval: 5 * time.Millisecond}, Location{},
				&statusEngine{statuses: s.statuses}, configuration.NewHolder(common.Recorder), pool, Weights{Active: &transfer.Active{}}, NewPeers())
			defer a.Close()
			time.Sleep(300 * time.Millisecond)
			record := a.Record()
			if got := figbank.Incarnation(record.GetIncarnation()); got != s.want || record.GetState() != schema.UpstreamState_UPSTREAM_STATE_READY {
				t.Errorf("incarnation = %q, %v, want %q, ready", got, record.GetState(), s.want)
			}
		})
	}
}
