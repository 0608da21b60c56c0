package app

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"figbank/clock"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	gate    chan struct{}
}

// Write waits for the gate.
func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func TestBoundedWriterNeverBlocksAndSaysWhatItDropped(t *testing.T) {
	out := &slowWriter{gate: make(chan struct{})}
	w := NewBoundedWriter(out, clock.System{}, 100)
	began := time.Now()
	for range 10 * logBuffer {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatalf("Write() = %v, want nil", err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing to a log that nobody reads took %v", took)
	}
	close(out.gate)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "lines were dropped"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("dropped lines were not said")
		}
	}
	if got, most := strings.Count(out.String(), "line\n"), logBurstSeconds*100+10; got > most {
		t.Errorf("lines written = %d, want at most %d", got, most)
	}
}
