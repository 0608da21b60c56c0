package httpserver

import (
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
)

// headTimeoutAnswer is the answer to a request whose head has not arrived in time. net/http
// would close the connection without an answer.
const headTimeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// The states of a connection with regard to its first request.
const (
	// connUnread means that no byte has been read from the connection.
	connUnread int32 = iota
	// connRead means that bytes have been read.
	connRead
	// connAbandoned means that the connection was closed before a byte was read. Nothing is read any more.
	connAbandoned
)

type (
	// conn is a caller's connection.
	conn struct {
		net.Conn
		queue *connQueue
		// partialHead is set once a part of a request's head has arrived, until the head is
		// complete.
		partialHead atomic.Bool
		// serving is set from the end of a head to the end of its answer.
		serving atomic.Bool
		// first is the state with regard to the first request.
		first  atomic.Int32
		closed sync.Once
	}

	// connQueue is a listener whose connections were accepted by another listener.
	connQueue struct {
		accepted chan net.Conn
		done     chan struct{}
		close    sync.Once

		mu sync.Mutex
		// open holds the connections that are not closed yet.
		open map[*conn]struct{}
	}
)

func newConn(accepted net.Conn, queue *connQueue) *conn {
	c := &conn{Conn: accepted, queue: queue}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.open[c] = struct{}{}
	return c
}

// Read answers a request whose head has not arrived before the read deadline.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.serving.Load() {
		return n, err
	}
	if n > 0 && !c.first.CompareAndSwap(connUnread, connRead) && c.first.Load() == connAbandoned {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.partialHead.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.partialHead.Load() {
		_, _ = io.WriteString(c.Conn, headTimeoutAnswer)
		// net/http would answer once more, with status 400.
		_ = c.Close()
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(func() { c.queue.remove(c) })
	return c.Conn.Close()
}

// closeUnread closes the connection unless a byte has been read from it. Its caller then knows that this
// process has not read a request, and may send it elsewhere.
func (c *conn) closeUnread() {
	if c.first.CompareAndSwap(connUnread, connAbandoned) {
		_ = c.Close()
	}
}

// trackState follows the state of a connection, as net/http reports it.
func trackState(changed net.Conn, state http.ConnState) {
	c, isConn := changed.(*conn)
	if !isConn {
		return
	}
	switch state {
	case http.StateActive:
		c.serving.Store(true)
	case http.StateIdle:
		c.partialHead.Store(false)
		c.serving.Store(false)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

func newConnQueue() *connQueue {
	return &connQueue{accepted: make(chan net.Conn), done: make(chan struct{}), open: map[*conn]struct{}{}}
}

func (q *connQueue) remove(c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, c)
}

// openConns lists the connections that are not closed yet.
func (q *connQueue) openConns() []*conn {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.open))
}

// offer passes a connection on. It returns false if the queue is closed.
func (q *connQueue) offer(c net.Conn) bool {
	select {
	case q.accepted <- c:
		return true
	case <-q.done:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.accepted:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail. Connections that were accepted stay open.
func (q *connQueue) Close() error {
	q.close.Do(func() { close(q.done) })
	return nil
}

// Addr returns no address, since the queue itself listens on none.
func (q *connQueue) Addr() net.Addr {
	return &net.TCPAddr{}
}
