// Package answers holds what clients of HTTP check of an answer in addition to net/http: that it has not ended with a
// failed connection, and that the lines of its head have names.
package answers

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"figbank"
	"figbank/clock"
)

const (
	// settleTime is how long a connection that the other side has closed may take to accept what was written, or to fail. A reset
	// follows as soon as bytes arrive for a connection that nobody reads any more.
	settleTime = time.Second
	// settleInterval is the time between two looks.
	settleInterval = time.Millisecond
)

type (
	// Conn is a connection from which a client reads answers. A failure of the connection is never taken for the end of an
	// answer: the kernel reports it once, to a read or to a write, and io.EOF to the reads that follow. It may also come
	// after the end, while the request is on its way. An answer without a length ends with io.EOF. The head of an answer is
	// read only as long as its lines have names.
	Conn struct {
		net.Conn
		clock figbank.Clock

		// writing is held during a write.
		writing sync.Mutex
		// sending is set while a request has not been written to its end.
		sending atomic.Bool
		// failure is the first failure of the connection that a read or a write has learned of.
		failure atomic.Pointer[FailedError]
		// expected is set while a request waits for the first bytes of its answer. lines checks the head that they begin.
		expected atomic.Bool
		lines    headLines
		// badLine is the line because of which no further bytes are read.
		badLine atomic.Pointer[FieldNameError]
	}

	// Option changes a Conn under construction.
	Option func(*Conn)

	// FailedError reports that a connection failed, for example by a reset, before the answer on it was complete.
	FailedError struct {
		Cause error
	}
)

// Error describes the failure.
func (e FailedError) Error() string {
	return "connection failed before the answer was complete: " + e.Cause.Error()
}

// Unwrap returns the error of the read or write that has learned of the failure.
func (e FailedError) Unwrap() error { return e.Cause }

// WithClock sets the clock, which is the system's otherwise.
func WithClock(clock figbank.Clock) Option {
	return func(c *Conn) { c.clock = clock }
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn, options ...Option) *Conn {
	c := &Conn{Conn: conn, clock: clock.System{}, lines: headLines{position: afterHead}}
	for _, option := range options {
		option(c)
	}
	return c
}

// ExpectHead makes the bytes that are read next the head of an answer.
func (c *Conn) ExpectHead() { c.expected.Store(true) }

// BeginRequest tells that a request is written from now on, until EndRequest.
func (c *Conn) BeginRequest() { c.sending.Store(true) }

// EndRequest tells that the whole request has been written, or that no more of it will be.
func (c *Conn) EndRequest() { c.sending.Store(false) }

// CheckHead returns a FieldNameError if the head that was expected last has a line without a name. Parsers of heads may have
// replaced the error that Read has returned.
func (c *Conn) CheckHead() error {
	if bad := c.badLine.Load(); bad != nil {
		return *bad
	}
	return nil
}

// Write writes to the connection and keeps the failure that it learns of.
func (c *Conn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(content)
	c.record(err)
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other side has closed the connection and then takes what was written to
// it, or leaves it unread for settleTime. It returns a FailedError if a read or a write has learned of a failure, and a
// FieldNameError for a line of a head that has no name. After io.EOF nothing should be written: no answer to it could come.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if bad := c.check(buffer[:n]); bad != nil {
		return 0, bad
	}
	if err == nil {
		return n, nil
	}
	c.record(err)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	unanswered := c.expected.Load()
	if !unanswered {
		c.settle()
	}
	failure := c.failure.Load()
	// An idle connection that is closed just as a request is written to it has ended plainly: net/http sends such a request once more.
	if failure == nil || unanswered && errors.Is(*failure, syscall.EPIPE) {
		return n, err
	}
	return n, *failure
}

// check checks the bytes of a head.
func (c *Conn) check(content []byte) error {
	if len(content) > 0 && c.expected.Swap(false) {
		c.lines = headLines{}
	}
	var bad FieldNameError
	if errors.As(c.lines.add(content), &bad) {
		c.badLine.CompareAndSwap(nil, &bad)
	}
	return c.CheckHead()
}

// settle waits until the request has been written and the other side has accepted all of it, the connection has failed, or
// settleTime is over.
func (c *Conn) settle() {
	deadline := c.clock.Now().Add(settleTime)
	_ = c.SetWriteDeadline(deadline)
	for {
		c.awaitWrite()
		left, err := unaccepted(c.Conn)
		if err != nil {
			c.failure.CompareAndSwap(nil, &FailedError{Cause: err})
		}
		accepted := left == 0 && !c.sending.Load()
		if accepted || c.failure.Load() != nil || !c.clock.Now().Before(deadline) {
			return
		}
		<-c.clock.After(settleInterval)
	}
}

// awaitWrite waits until the write in progress, if there is one, has ended and recorded the failure that it has learned of.
func (c *Conn) awaitWrite() {
	c.writing.Lock()
	defer c.writing.Unlock()
}

// record keeps the first error that is a failure of the connection.
func (c *Conn) record(err error) {
	if isFailure(err) {
		c.failure.CompareAndSwap(nil, &FailedError{Cause: err})
	}
}

// isFailure reports whether an error of a read or a write is one of the kernel: the connection has failed, or, with EPIPE, was reset
// after the other side had closed it. Errors that are not the kernel's come from this process, for example at a deadline.
func isFailure(err error) bool {
	return errors.As(err, new(syscall.Errno))
}
