// Package answers holds what clients of HTTP check of an answer in addition to net/http: that it has not ended with a
// failed connection.
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
	// Conn is a connection on which a failure is never taken for the end of an answer. The kernel reports a failure once, to a
	// read or to a write, and io.EOF to the reads that follow. An answer without a length ends with io.EOF.
	Conn struct {
		net.Conn

		// writing is held during a write.
		writing sync.Mutex
		// failure is the first failure of the connection that a read or a write has learned of.
		failure atomic.Pointer[FailedError]
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

// WatchFailures returns a Conn that reads from and writes to conn.
func WatchFailures(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write writes to the connection and keeps the failure that it learns of.
func (c *Conn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(content)
	c.record(err)
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other side has closed the connection, and a FailedError if a
// read or a write has learned of a failure. After io.EOF nothing can be written: no answer to it could come.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
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
