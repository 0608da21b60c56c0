package answers

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// upload does not fit into the buffers of the kernel.
	upload = 6 << 20
	// plays is how often each ending is tried: it is chance whether the read or the write learns of a reset.
	plays = 20
	part  = "part"
)

// endEarly answers the first bytes of an upload with a part and ends the connection.
func endEarly(t *testing.T, end func(*net.TCPConn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		// The listener stays until then: a connection that it has not accepted is reset when it closes.
		_ = listener.Close()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		// The rest of the upload stays with its sender until it is read.
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, part)
		time.Sleep(2 * time.Millisecond)
		end(conn.(*net.TCPConn))
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// The other side resets the connection while bytes are written to it. If the write learned of the reset, the read found an
// ordinary end.
func TestReadTellsEndsFromFailures(t *testing.T) {
	scenarios := []struct {
		name   string
		end    func(*net.TCPConn)
		failed bool
	}{
		{name: "reset", end: func(c *net.TCPConn) { _ = c.SetLinger(0) }, failed: true},
		{name: "closed with unread bytes, which resets it", end: func(*net.TCPConn) {}, failed: true},
		{name: "closed, and read on", end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}},
		{name: "closed, and not read any more, which resets it later", end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}, failed: true},
		{name: "closed, then reset", end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(time.Millisecond)
			_ = c.SetLinger(0)
		}, failed: true},
		{name: "read in part, then closed", end: func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, upload/2) }, failed: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for range plays {
				conn := NewConn(endEarly(t, s.end))
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, upload))
					written <- err
				}()
				began := time.Now()
				got, err := io.ReadAll(conn)
				if took := time.Since(began); took > time.Second {
					t.Errorf("the end is noticed after %v, want at once", took)
				}
				if failed := err != nil; failed != s.failed || string(got) != part && !failed {
					t.Errorf("ReadAll() = %q, %v, want failed %v", got, err, s.failed)
				}
				if again, err := conn.Read(make([]byte, 1)); s.failed && !errors.As(err, new(FailedError)) {
					t.Errorf("the next Read() = %d, %v, want FailedError", again, err)
				}
				_ = conn.Close()
				<-written
			}
		})
	}
}

// The other side ends its answer and neither reads on nor closes the connection. What has come is all that will come.
func TestAnswerDoesNotWaitForAnUploadWithoutEnd(t *testing.T) {
	done := make(chan struct{})
	conn := NewConn(endEarly(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-done
	}))
	defer conn.Close()
	defer close(done)
	go func() { _, _ = conn.Write(bytes.Repeat([]byte("u"), upload)) }()
	began := time.Now()
	if got, err := io.ReadAll(conn); string(got) != part || err != nil {
		t.Errorf("ReadAll() = %q, %v, want the part and its end", got, err)
	}
	if took := time.Since(began); took < settleTime/2 || took > 2*settleTime {
		t.Errorf("the end is noticed after %v, want about %v", took, settleTime)
	}
}

// scriptedConn returns errors as a kernel would.
type scriptedConn struct {
	net.Conn
	readErr, writeErr error
}

func (c scriptedConn) Read([]byte) (int, error)         { return 0, c.readErr }
func (c scriptedConn) Write([]byte) (int, error)        { return 0, c.writeErr }
func (c scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// A write has learned of the end of the connection before the read.
func TestReadAfterAWriteThatFailed(t *testing.T) {
	scenarios := []struct {
		name             string
		writeErr, readEr error
		// unanswered is set if no byte of the answer has come.
		unanswered bool
		want       error
	}{
		{name: "reset", writeErr: &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, readEr: io.EOF, want: syscall.ECONNRESET},
		{name: "no acknowledgement", writeErr: syscall.ETIMEDOUT, readEr: io.EOF, want: syscall.ETIMEDOUT},
		{name: "no route any more", writeErr: syscall.EHOSTUNREACH, readEr: io.EOF, want: syscall.EHOSTUNREACH},
		{name: "reset after the other side has closed it", writeErr: syscall.EPIPE, readEr: io.EOF, want: syscall.EPIPE},
		{name: "closed by the other side before an answer", writeErr: syscall.EPIPE, readEr: io.EOF, unanswered: true, want: io.EOF},
		{name: "reset before an answer", writeErr: syscall.ECONNRESET, readEr: io.EOF, unanswered: true, want: syscall.ECONNRESET},
		{name: "deadline", writeErr: os.ErrDeadlineExceeded, readEr: io.EOF, want: io.EOF},
		{name: "closed here", writeErr: net.ErrClosed, readEr: net.ErrClosed, want: net.ErrClosed},
		{name: "nothing", readEr: io.EOF, want: io.EOF},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			conn := NewConn(scriptedConn{readErr: s.readEr, writeErr: s.writeErr})
			if s.unanswered {
				conn.ExpectHead()
			}
			_, _ = conn.Write([]byte("x"))
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, s.want) {
				t.Errorf("Read() = %v, want %v", err, s.want)
			}
		})
	}
}

// A read that ends at a deadline must not wait for a write that is blocked.
func TestReadDeadlineDoesNotWaitForAWrite(t *testing.T) {
	done := make(chan struct{})
	conn := NewConn(endEarly(t, func(*net.TCPConn) { <-done }))
	defer conn.Close()
	defer close(done)
	go func() { _, _ = conn.Write(bytes.Repeat([]byte("u"), upload)) }()
	_, _ = io.ReadFull(conn, make([]byte, len(part)))
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	began := time.Now()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Read() = %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("Read() took %v, want 20 ms", took)
	}
}
