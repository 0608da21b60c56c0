package app

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"figbank/clock"
)

// slowWriter blocks writes until unblock is closed.
type slowWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	unblock chan struct{}
}

// Write waits until unblock is closed.
func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func TestBoundedWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	out := &slowWriter{unblock: make(chan struct{})}
	w := NewBoundedWriter(out, clock.System{}, 100)
	began := time.Now()
	for range 10 * bufferedLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatalf("Write() = %v, want nil", err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing to a blocked output took %v, want at most 1 s", took)
	}
	close(out.unblock)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "lines were dropped"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the number of dropped lines was not written")
		}
	}
	if got, most := strings.Count(out.String(), "line\n"), logBurstSeconds*100+10; got > most {
		t.Errorf("lines written = %d, want at most %d", got, most)
	}
}
