package upstream

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"figbank"
	"figbank/answers"
	"figbank/memory"

	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of the read buffer. It is large enough for the head of a
// response, or for a few events.
const readBufferBytes = 4 << 10

// conn is one connection, used by one request at a time.
type conn struct {
	pool    *Pool
	address figbank.Address
	netConn net.Conn
	// watched reads from and writes to netConn.
	watched *answers.Conn
	heads   *headLimiter
	reader  *bufio.Reader
	// keepAlive is how long the upstream keeps an idle connection open.
	keepAlive time.Duration
	// reuseUntil is the time until which the connection may be reused.
	reuseUntil time.Time
	// used is set once a response has arrived.
	used bool
}

func newConn(pool *Pool, address figbank.Address, netConn net.Conn) *conn {
	watched := answers.NewConn(netConn, answers.WithClock(pool.clock))
	heads := &headLimiter{source: watched}
	return &conn{
		pool: pool, address: address, netConn: netConn, watched: watched, heads: heads, reader: bufio.NewReaderSize(heads, readBufferBytes),
		keepAlive: defaultIdle,
	}
}

func (c *conn) close() {
	_ = c.netConn.Close()
}

// reset aborts a request that is in progress. Linger time 0 makes the kernel discard the
// bytes that are not yet delivered. After a plain close the kernel would keep retransmitting
// them, and the request could run long after it was given up.
func (c *conn) reset() {
	if tcp, isTCP := c.netConn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// limitReadTime makes reads fail that last longer than d from now on, until the connection
// is released.
func (c *conn) limitReadTime(d time.Duration) {
	_ = c.netConn.SetReadDeadline(c.pool.clock.Now().Add(d))
}

// release returns the connection to the pool. It closes the connection instead if
// there are unread bytes that belong to no request, or if the upstream keeps idle
// connections for too short a time.
func (c *conn) release() {
	if c.reader.Buffered() > 0 || c.keepAlive <= idleMargin {
		c.close()
		return
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	c.reuseUntil = c.pool.clock.Now().Add(c.keepAlive - idleMargin)
	c.pool.put(c)
}

// parseKeepAlive reads from a Keep-Alive header how long the upstream keeps an idle
// connection open.
func (c *conn) parseKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil {
			c.keepAlive = time.Duration(seconds) * time.Second
		}
	}
}

// reusable reports whether an idle connection may be used for another request. It returns
// false if reuseUntil has passed, if the upstream has closed the connection, or if unexpected
// bytes have arrived.
func (c *conn) reusable(now time.Time) bool {
	if !now.Before(c.reuseUntil) {
		return false
	}
	tcp, isTCP := c.netConn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, errno := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errno == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// body is the body of a response. When the body has been read to its end, the connection is
// kept for reuse if possible. Closing the body earlier resets the connection.
type body struct {
	io.ReadCloser
	conn *conn
	// reuse is set if the response allows another request on the connection.
	reuse bool
	// stop prevents the reset of the connection when the request's context ends. It returns
	// false if the reset has already begun.
	stop func() bool
	// done is set once the connection has been closed or given back.
	done bool
	// written receives the result of sending the request.
	written <-chan error
	// head is the memory for the head. Close releases it.
	head *memory.Reservation
}

// Read reads from the body. At the end of the body it gives the connection back.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && !b.done {
		b.finish()
	}
	return n, err
}

// Close resets the connection unless the body was read to its end.
func (b *body) Close() error {
	b.head.Release()
	if b.done {
		return nil
	}
	b.done = true
	b.stop()
	b.conn.reset()
	return nil
}

func (b *body) finish() {
	b.done = true
	notReset := b.stop()
	if !notReset || !b.reuse || !b.requestSent() {
		b.conn.close()
		return
	}
	b.conn.release()
}

// requestSent reports whether the complete request has been sent. It returns false while the
// request's body is still being written, since the upstream may respond before it has read
// the whole body.
func (b *body) requestSent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
