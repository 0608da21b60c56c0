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
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

type (
	// Conn is a connection from which a client reads answers. A failure of the connection is never taken for the end of an
	// answer: the kernel reports it once, to a read or to a write, and io.EOF to the reads that follow. An answer without a
	// length ends with io.EOF. The head of an answer is read only as long as its lines have names.
	Conn struct {
		net.Conn

		// writing is held during a write.
		writing sync.Mutex
		// failure is the first failure of the connection that a read or a write has learned of.
		failure atomic.Pointer[FailedError]
		// expected is set while a request waits for the first bytes of its answer. lines checks the head that they begin.
		expected atomic.Bool
		lines    headLines
		// badLine is the line because of which no further bytes are read.
		badLine atomic.Pointer[FieldNameError]
	}

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

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, lines: headLines{position: afterHead}}
}

// ExpectHead makes the bytes that are read next the head of an answer.
func (c *Conn) ExpectHead() { c.expected.Store(true) }

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

// Read reads from the connection. It returns io.EOF only if the other side has closed the connection, a FailedError if a
// read or a write has learned of a failure, and a FieldNameError for a line of a head that has no name. After io.EOF nothing can
// be written: no answer to it could come.
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
	c.endWrite()
	if failure := c.failure.Load(); failure != nil {
		return n, *failure
	}
	return n, err
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

// endWrite ends the write in progress, if there is one, and waits until it has recorded the failure that it has learned of.
func (c *Conn) endWrite() {
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
}

// record keeps the first error that is a failure of the connection.
func (c *Conn) record(err error) {
	if isFailure(err) {
		c.failure.CompareAndSwap(nil, &FailedError{Cause: err})
	}
}

// isFailure reports whether an error of a read or a write is the one with which the kernel reports that a connection has failed.
// EPIPE is not: the kernel has reported the failure to a read, or the other side had closed the connection before. Errors that
// are not the kernel's come from this process, for example at a deadline.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
