package app

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// stepClock ticks when the test says so.
type stepClock struct {
	ticks chan time.Time
}

func (stepClock) Now() time.Time                                  { return time.Unix(1000, 0) }
func (stepClock) After(time.Duration) <-chan time.Time            { return nil }
func (c stepClock) Tick(time.Duration) (<-chan time.Time, func()) { return c.ticks, func() {} }

// An operator's tool changes the file without a signal, or sends one without a
// change; each must lead to one reload, and a quiet second to none.
func TestFollowFile(t *testing.T) {
	tests := []struct {
		name string
		act  func(t *testing.T, path string, ticks chan<- time.Time)
		want string
	}{
		{name: "the file changes", want: "file", act: func(t *testing.T, path string, ticks chan<- time.Time) {
			writeFile(t, path, "longer than before")
			ticks <- time.Time{}
		}},
		{name: "a signal comes", want: "signal", act: func(t *testing.T, _ string, _ chan<- time.Time) {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "the file is gone for a moment", want: "file", act: func(t *testing.T, path string, ticks chan<- time.Time) {
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
			clock := stepClock{ticks: make(chan time.Time)}
			causes, ended := make(chan string, 10), make(chan struct{})
			go func() {
				defer close(ended)
				followFile(ctx, clock, path, func(cause string) { causes <- cause })
			}()
			// Once a tick has been taken the signals are caught and the file has been read.
			clock.ticks <- time.Time{}
			clock.ticks <- time.Time{}
			test.act(t, path, clock.ticks)
			if got := <-causes; got != test.want {
				t.Errorf("cause: got %q, want %q", got, test.want)
			}
			clock.ticks <- time.Time{}
			stop()
			<-ended
			if got := len(causes); got != 0 {
				t.Errorf("further reloads: got %d, want none", got)
			}
		})
	}
}

// writeFile replaces a file at once: one that is seen half written may rightly
// lead to two reloads.
func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".next", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		t.Fatal(err)
	}
}
