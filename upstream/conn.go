package upstream

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"figbank"

	"golang.org/x/sys/unix"
)

// readBuffer holds an answer's head, or a few events.
const readBuffer = 4 << 10

// conn is one connection, used by one request at a time.
type conn struct {
	pool    *Pool
	address figbank.Address
	raw     net.Conn
	reader  *bufio.Reader
	// lasts is how long the upstream keeps an idle connection, until when this end
	// may reuse it.
	lasts time.Duration
	until time.Time
}

func newConn(pool *Pool, address figbank.Address, raw net.Conn) *conn {
	return &conn{pool: pool, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), lasts: defaultIdle}
}

func (c *conn) close() {
	_ = c.raw.Close()
}

// reset gives up a request that is under way. Bytes that the network still holds
// up must not arrive later: a plain close would have them sent again and again,
// and the request would run long after it was taken back.
func (c *conn) reset() {
	if tcp, isTCP := c.raw.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// release keeps the connection for another request, unless bytes are waiting
// that belong to none.
func (c *conn) release() {
	if c.reader.Buffered() > 0 || c.lasts <= idleMargin {
		c.close()
		return
	}
	c.until = c.pool.clock.Now().Add(c.lasts - idleMargin)
	c.pool.put(c)
}

// hearKeepAlive notes how long the upstream keeps an idle connection.
func (c *conn) hearKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil {
			c.lasts = time.Duration(seconds) * time.Second
		}
	}
}

// sound tells whether an idle connection is neither old, nor closed by the
// upstream, nor holds bytes that nobody asked for.
func (c *conn) sound(now time.Time) bool {
	if !now.Before(c.until) {
		return false
	}
	tcp, isTCP := c.raw.(*net.TCPConn)
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

// body is an answer's body. At its end the connection is kept for reuse;
// closing it earlier resets the connection.
type body struct {
	io.ReadCloser
	conn  *conn
	reuse bool
	stop  func() bool
	done  bool
	// written ends when the request has been sent whole.
	written <-chan error
}

// Read reads on; the end of the body frees the connection.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err == io.EOF && !b.done {
		b.finish()
	}
	return n, err
}

// Close gives the connection up unless the body was read to its end.
func (b *body) Close() error {
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
	intact := b.stop()
	if !intact || !b.reuse || !b.sent() {
		b.conn.close()
		return
	}
	b.conn.release()
}

// sent tells whether the request went out whole; an early answer leaves it cut.
func (b *body) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
