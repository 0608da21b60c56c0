package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
)

// A process is asked to stop while it starts, before fx listens for signals. In soak
// seed 103 an agent therefore never ended.
func TestStopDuringStartIsNotLost(t *testing.T) {
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
			t.Errorf("runApp() = %v, stopped: %t, want nil and true", err, stopped)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the process has not ended")
	}
}

// A process is asked by SIGHUP to read its settings again before it listens for that
// signal. In soak seed 208 this terminated a replica. Without the call of
// catchHangups the signal terminates the process of this test.
func TestReloadSignalDuringStartDoesNotTerminate(t *testing.T) {
	catchHangups()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}
