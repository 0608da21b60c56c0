package app

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"figbank"

	"golang.org/x/time/rate"
)

const (
	// logBuffer is how many lines may wait for a slow reader of the log.
	logBuffer       = 1024
	dropsInterval   = time.Second
	logBurstSeconds = 2
)

// BoundedWriter writes log lines without ever blocking who logs. Lines above
// the rate, or that find the buffer full, are dropped, counted and said.
type BoundedWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	clock   figbank.Clock
	out     io.Writer
}

// NewBoundedWriter returns a writer of at most linesPerSecond to out.
func NewBoundedWriter(out io.Writer, clock figbank.Clock, linesPerSecond int) *BoundedWriter {
	w := &BoundedWriter{
		lines: make(chan []byte, logBuffer), clock: clock, out: out,
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), logBurstSeconds*linesPerSecond),
	}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.limiter.AllowN(w.clock.Now(), 1) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *BoundedWriter) run() {
	ticks, stop := w.clock.Tick(dropsInterval)
	defer stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ticks:
			if dropped := w.dropped.Swap(0); dropped > 0 {
				fmt.Fprintf(w.out, `{"level":"warn","logger":"log","msg":"lines were dropped","count":%d}`+"\n", dropped)
			}
		}
	}
}
