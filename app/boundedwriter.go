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
	// bufferedLines is how many lines are buffered at most while the output is slow.
	bufferedLines = 1024
	// dropReportInterval is how often the number of dropped lines is written.
	dropReportInterval = time.Second
	// logBurstSeconds sets the largest burst of lines: as many as the rate allows in this time.
	logBurstSeconds = 2
)

// BoundedWriter writes log lines without ever blocking its caller. It drops lines
// that exceed the rate or find the buffer full, and writes how many it dropped. It is
// safe for concurrent use. It cannot be closed, so lines that are still in the buffer
// when the process exits are lost.
type BoundedWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	clock   figbank.Clock
	out     io.Writer
}

// NewBoundedWriter returns a writer that writes at most linesPerSecond lines a second
// to out, apart from short bursts.
func NewBoundedWriter(out io.Writer, clock figbank.Clock, linesPerSecond int) *BoundedWriter {
	w := &BoundedWriter{
		lines: make(chan []byte, bufferedLines), clock: clock, out: out,
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), logBurstSeconds*linesPerSecond),
	}
	go w.run()
	return w
}

// Write queues or drops one line. It never fails.
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
	ticks, stop := w.clock.Tick(dropReportInterval)
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
