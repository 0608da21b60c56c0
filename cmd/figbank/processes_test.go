package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
)

// The signal to stop may arrive while a process starts, before fx listens for signals. In soak
// seed 103, an agent missed the signal and never ended.
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

// SIGHUP asks a process to read its settings again. It may arrive before the process listens for
// it. In soak seed 208, such a signal terminated a replica. Without the call of catchHangups, it
// terminates the process of this test.
func TestReloadSignalDuringStartDoesNotTerminate(t *testing.T) {
	catchHangups()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}
