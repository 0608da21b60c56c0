package main

import (
	"context"
	"os"
	"syscall"
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

// A process is told to read its settings again before it listens for that: soak
// seed 208, a replica that was ended by it. Without the call this test's own
// process is ended.
func TestReloadDuringTheStartEndsNothing(t *testing.T) {
	holdHangups()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}
