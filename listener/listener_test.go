package listener

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"figbank"
	"figbank/clock"

	"go.uber.org/zap"
)

// failingListener fails as often as it has errors, and then accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// A process whose network failed for a moment accepted nobody any more, and ran on.
func TestErrorsThatPassDoNotEndAccepting(t *testing.T) {
	scenarios := []struct {
		name string
		errs []error
		// close closes the listener instead of connecting to it.
		close bool
		want  error
	}{
		{name: "no descriptor left", errs: []error{syscall.EMFILE, syscall.ENFILE}},
		{name: "the network is down", errs: []error{syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPROTO}},
		{name: "closed", errs: []error{syscall.ENETDOWN}, close: true, want: net.ErrClosed},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			common := figbank.Common{Log: zap.NewNop(), Clock: clock.System{}}
			lasting := NewLasting(common, &failingListener{Listener: raw, errs: s.errs})
			defer func() { _ = lasting.Close() }()
			got := make(chan error, 1)
			go func() {
				_, err := lasting.Accept()
				got <- err
			}()
			if s.close {
				_ = lasting.Close()
			} else if _, err := net.Dial("tcp", raw.Addr().String()); err != nil {
				t.Fatal(err)
			}
			select {
			case err := <-got:
				if !errors.Is(err, s.want) {
					t.Errorf("Accept() = %v, want %v", err, s.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("Accept() did not return within 5 s")
			}
		})
	}
}

func TestPausesGrow(t *testing.T) {
	for failures, want := range []time.Duration{firstPause, 2 * firstPause, 4 * firstPause} {
		if got := pauseAfter(failures); got != want {
			t.Errorf("pauseAfter(%d) = %v, want %v", failures, got, want)
		}
	}
	if got := pauseAfter(100); got != maxPause {
		t.Errorf("pauseAfter(100) = %v, want %v", got, maxPause)
	}
}
