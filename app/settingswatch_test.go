package app

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// manualClock ticks when the test sends on ticks.
type manualClock struct {
	ticks chan time.Time
}

func (manualClock) Now() time.Time                                  { return time.Unix(1000, 0) }
func (manualClock) After(time.Duration) <-chan time.Time            { return nil }
func (c manualClock) Tick(time.Duration) (<-chan time.Time, func()) { return c.ticks, func() {} }

// An operator's tool changes the file without a signal, or sends a signal without a
// change. Each must cause exactly one reload, and a tick without either must cause none.
func TestWatchFile(t *testing.T) {
	tests := []struct {
		name string
		act  func(t *testing.T, path string, ticks chan<- time.Time)
		want string
	}{
		{name: "the file changes", want: "file", act: func(t *testing.T, path string, ticks chan<- time.Time) {
			writeFile(t, path, "longer than before")
			ticks <- time.Time{}
		}},
		{name: "a signal arrives", want: "signal", act: func(t *testing.T, _ string, _ chan<- time.Time) {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "the file is removed", want: "file", act: func(t *testing.T, path string, ticks chan<- time.Time) {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			ticks <- time.Time{}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.ini")
			writeFile(t, path, "before")
			ctx, stop := context.WithCancel(context.Background())
			clock := manualClock{ticks: make(chan time.Time)}
			causes, ended := make(chan string, 10), make(chan struct{})
			go func() {
				defer close(ended)
				watchFile(ctx, clock, path, func(cause string) { causes <- cause })
			}()
			// Once watchFile has received a tick, it has registered for signals and stored
			// the version of the file.
			clock.ticks <- time.Time{}
			clock.ticks <- time.Time{}
			test.act(t, path, clock.ticks)
			if got := <-causes; got != test.want {
				t.Errorf("cause = %q, want %q", got, test.want)
			}
			clock.ticks <- time.Time{}
			stop()
			<-ended
			if got := len(causes); got != 0 {
				t.Errorf("further reloads = %d, want none", got)
			}
		})
	}
}

// writeFile replaces a file atomically. If watchFile saw a half-written file, it could
// reload twice.
func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".next", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		t.Fatal(err)
	}
}
