package main

import (
	"context"
	"testing"
	"time"

	"go.uber.org/fx"
)

// A process is asked to stop while it starts, before fx listens for signals: soak
// seed 103, an agent that never ended.
func TestStopDuringTheStartIsNotLost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := false
	process := fx.New(fx.NopLogger, fx.Invoke(func(lifecycle fx.Lifecycle) {
		lifecycle.Append(fx.StartStopHook(cancel, func() { stopped = true }))
	}))
	ended := make(chan error, 1)
	go func() { ended <- runApp(ctx, process) }()
	select {
	case err := <-ended:
		if err != nil || !stopped {
			t.Errorf("runApp() = %v, stopped: %t, want nil and stopped", err, stopped)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the process has not ended")
	}
}
