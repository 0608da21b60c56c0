package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"figbank"
	"figbank/clock"
	"figbank/schema"
)

const kind = schema.StreamKind_STREAM_KIND_INSPECT

// noRecorder discards events.
type noRecorder struct{}

func (noRecorder) Record(*schema.Event)  {}
func (noRecorder) Stamp() *schema.Stamp  { return &schema.Stamp{} }
func (noRecorder) Observe(*schema.Stamp) {}

func common(process figbank.ProcessID) figbank.Common {
	return figbank.Common{
		Process: process, Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: noRecorder{},
	}
}

// newPair returns a pool, and a server with one handler and its address.
func newPair(t *testing.T, handler Handler) (*Pool, figbank.Address, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(common("server"), listener, Handlers{kind: handler})
	pool := NewPool(common("client"))
	t.Cleanup(func() {
		pool.Close()
		server.Close()
	})
	return pool, figbank.Address(listener.Addr().String()), server
}

func echo(_ context.Context, from figbank.ProcessID, stream *Stream) {
	request := &schema.InspectRequest{}
	if err := stream.Receive(request); err == nil {
		_ = stream.Send(&schema.InspectAnswer{Process: string(from)})
	}
}

func TestCall(t *testing.T) {
	scenarios := []struct {
		name     string
		kind     schema.StreamKind
		handler  Handler
		wantSent bool
		wantErr  bool
		want     string
	}{
		{name: "answers", kind: kind, handler: echo, wantSent: true, want: "client"},
		{name: "unknown kind of stream", kind: schema.StreamKind_STREAM_KIND_CALL, handler: echo, wantSent: true, wantErr: true},
		{name: "handler sends no answer", kind: kind, handler: func(context.Context, figbank.ProcessID, *Stream) {}, wantSent: true, wantErr: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			pool, address, _ := newPair(t, s.handler)
			answer := &schema.InspectAnswer{}
			sent, err := pool.Call(context.Background(), address, s.kind, &schema.InspectRequest{}, answer)
			if sent != s.wantSent || (err != nil) != s.wantErr || answer.GetProcess() != s.want {
				t.Errorf("Call() = %t, %v, %q, want %t, error %t, %q", sent, err, answer.GetProcess(), s.wantSent, s.wantErr, s.want)
			}
		})
	}
}

func TestUnreachablePeerReceivesNothing(t *testing.T) {
	pool, address, server := newPair(t, echo)
	server.Close()
	sent, err := pool.Call(context.Background(), address, kind, &schema.InspectRequest{}, &schema.InspectAnswer{})
	if sent || err == nil {
		t.Errorf("Call() = %t, %v, want false and an error", sent, err)
	}
}

func TestPoolDialsAgain(t *testing.T) {
	pool, address, server := newPair(t, echo)
	call := func() error {
		_, err := pool.Call(context.Background(), address, kind, &schema.InspectRequest{}, &schema.InspectAnswer{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	server.Close()
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		t.Fatal(err)
	}
	restarted := NewServer(common("server"), listener, Handlers{kind: echo})
	defer restarted.Close()
	for deadline := time.Now().Add(5 * time.Second); call() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("Call() to the restarted server still fails after five seconds")
		}
	}
}

func TestContextEndsCall(t *testing.T) {
	pool, address, _ := newPair(t, func(ctx context.Context, _ figbank.ProcessID, _ *Stream) { <-ctx.Done() })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := pool.Call(ctx, address, kind, &schema.InspectRequest{}, &schema.InspectAnswer{}); err == nil {
		t.Error("Call() without an answer = nil, want an error once its context ends")
	}
}

// Sending on a stream blocks, because its peer does not read and the window is full. The
// other streams of the session must still work.
func TestBlockedStreamDoesNotBlockOthers(t *testing.T) {
	pool, address, _ := newPair(t, func(ctx context.Context, from figbank.ProcessID, stream *Stream) {
		request := &schema.InspectRequest{}
		if err := stream.Receive(request); err != nil || request.GetTimeline() {
			<-ctx.Done()
			return
		}
		_ = stream.Send(&schema.InspectAnswer{Process: string(from)})
	})
	blocked, err := pool.Open(context.Background(), address, kind)
	if err != nil {
		t.Fatal(err)
	}
	defer blocked.Close()
	go func() {
		full := &schema.InspectAnswer{Process: string(make([]byte, 64<<10))}
		if blocked.Send(&schema.InspectRequest{Timeline: true}) != nil {
			return
		}
		for blocked.Send(full) == nil {
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 20 {
		if _, err := pool.Call(ctx, address, kind, &schema.InspectRequest{}, &schema.InspectAnswer{}); err != nil {
			t.Fatalf("Call() next to a blocked stream = %v", err)
		}
	}
}

func receiveAll(content []byte) error {
	reader := bufio.NewReader(bytes.NewReader(content))
	for {
		frame := &schema.CallFrame{}
		if err := receive(reader, frame, maxMessage); err != nil {
			return err
		}
	}
}

func TestOversizedMessageIsRefused(t *testing.T) {
	// A message length of 1 GiB, without that many bytes.
	err := receiveAll([]byte{0x80, 0x80, 0x80, 0x80, 0x04, 'x'})
	var large *protodelim.SizeTooLargeError
	if !errors.As(err, &large) {
		t.Errorf("receive = %v, want SizeTooLargeError", err)
	}
}

func FuzzReceive(f *testing.F) {
	var whole bytes.Buffer
	_, _ = protodelim.MarshalTo(&whole, &schema.CallFrame{RequestId: "r", Frame: &schema.CallFrame_Body{Body: []byte("body")}})
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:5])
	f.Fuzz(func(t *testing.T, content []byte) {
		if err := receiveAll(content); err == nil || errors.Is(err, io.ErrNoProgress) {
			t.Errorf("receive = %v, want io.EOF or another error", err)
		}
	})
}

// Many streams wait for messages when their session is closed, on a host with one processor. All
// of them must fail at once: a reader that spins until the session has shut down keeps the other
// goroutines from running.
func TestStreamsOfAClosedSessionFailAtOnce(t *testing.T) {
	const streams, most = 60, 200 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, side := range []string{"pool", "server"} {
		t.Run(side, func(t *testing.T) {
			served := make(chan struct{}, streams)
			pool, address, server := newPair(t, func(ctx context.Context, _ figbank.ProcessID, _ *Stream) {
				served <- struct{}{}
				<-ctx.Done()
			})
			var group sync.WaitGroup
			for range streams {
				stream, err := pool.Open(context.Background(), address, kind)
				if err != nil {
					t.Fatal(err)
				}
				group.Go(func() { _ = stream.Receive(&schema.InspectAnswer{}) })
				<-served
			}
			began := time.Now()
			if side == "pool" {
				pool.Drop(address, kind)
			} else {
				server.Close()
			}
			group.Wait()
			if took := time.Since(began); took > most {
				t.Errorf("the streams failed within %v, want at most %v", took, most)
			}
		})
	}
}

// A feed that times out drops its session, since the connection may be dead. When a replica is only
// slow, its followers do so often, and a replica among them must not lose the log's streams too.
func TestDroppedFeedLeavesTheLogItsSession(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const feed, log = schema.StreamKind_STREAM_KIND_FEED, schema.StreamKind_STREAM_KIND_RAFT
	server := NewServer(common("server"), listener, Handlers{feed: echo, log: echo})
	defer server.Close()
	pool, address := NewPool(common("client")), figbank.Address(listener.Addr().String())
	defer pool.Close()
	for _, first := range []schema.StreamKind{feed, log} {
		stream, err := pool.Open(context.Background(), address, log)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := pool.Call(context.Background(), address, first, &schema.InspectRequest{}, &schema.InspectAnswer{}); err != nil {
			t.Fatal(err)
		}
		pool.Drop(address, feed)
		if err := stream.Send(&schema.InspectRequest{}); err != nil {
			t.Errorf("Send() on the log's stream after a feed was dropped = %v", err)
		}
		if err := stream.Receive(&schema.InspectAnswer{}); err != nil {
			t.Errorf("Receive() on the log's stream after a feed was dropped = %v", err)
		}
		stream.Close()
	}
}

// silentConn is a connection on which nothing is carried any more once silent is closed, in either
// direction and without an error.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

// Write drops the bytes of a silent connection.
func (c silentConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// The connection that carries the log's messages goes silent for good, while new ones work. The feeds
// used to notice it, as long as they shared the log's session. Until it is replaced, the other replica
// hears nothing, and the log may have no leader.
func TestSilentSessionOfTheLogIsReplaced(t *testing.T) {
	const replaceTimeout = 4 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const log = schema.StreamKind_STREAM_KIND_RAFT
	received := make(chan struct{}, 1000)
	server := NewServer(common("server"), listener, Handlers{log: func(_ context.Context, _ figbank.ProcessID, stream *Stream) {
		for stream.Receive(&schema.InspectRequest{}) == nil {
			received <- struct{}{}
		}
	}})
	defer server.Close()
	silent, dials := make(chan struct{}), 0
	pool := NewPool(common("client"), WithDialer(func(ctx context.Context, address figbank.Address) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if dials++; dials == 1 && err == nil {
			conn = silentConn{Conn: conn, silent: silent}
		}
		return conn, err
	}))
	defer pool.Close()
	stream := pool.NewReconnectingStream(figbank.Address(listener.Addr().String()), log, time.Second)
	defer stream.Close()
	if err := stream.Send(context.Background(), &schema.InspectRequest{}); err != nil {
		t.Fatal(err)
	}
	<-received
	close(silent)
	for give := time.Now().Add(replaceTimeout); time.Now().Before(give); time.Sleep(50 * time.Millisecond) {
		_ = stream.Send(context.Background(), &schema.InspectRequest{})
		select {
		case <-received:
			return
		default:
		}
	}
	t.Errorf("no message arrived within %v after the connection went silent", replaceTimeout)
}
