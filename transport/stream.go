// Package transport carries protobuf messages between figbank's processes:
// one yamux session over TCP for each pair, one stream for each exchange.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"sync"
	"time"

	"figbank"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMessage bounds one message from another process.
	maxMessage figbank.Bytes = 16 << 20
	// readBuffer is kept small, since there is one for every open stream.
	readBuffer = 4 << 10
)

// longAgo is a deadline that has passed under any clock.
var longAgo = time.Unix(1, 0)

// Stream exchanges messages with one peer. One goroutine may send while another
// receives; concurrent senders are serialized.
type Stream struct {
	raw    *yamux.Stream
	reader *bufio.Reader
	// meter counts what the stream carries, nil for none.
	meter *kindMeter

	sendMu sync.Mutex
	buffer bytes.Buffer
}

func newStream(raw *yamux.Stream) *Stream {
	return &Stream{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// Send writes one message, length first.
func (s *Stream) Send(message proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.buffer.Reset()
	if _, err := protodelim.MarshalTo(&s.buffer, message); err != nil {
		return figbank.Fail("transport", "Marshal", err)
	}
	s.meter.countSent(s.buffer.Len())
	_, err := s.raw.Write(s.buffer.Bytes())
	return figbank.Fail("transport", "Send", err)
}

// Receive reads one message into message. It fails with an error around
// io.EOF when the peer has finished sending.
func (s *Stream) Receive(message proto.Message) error {
	if err := receive(s.reader, message); err != nil {
		return err
	}
	if s.meter != nil {
		s.meter.countHeard(proto.Size(message))
	}
	return nil
}

func receive(reader *bufio.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: int64(maxMessage)}
	return figbank.Fail("transport", "Receive", options.UnmarshalFrom(reader, message))
}

// Close ends the stream in both directions and wakes a blocked Receive.
func (s *Stream) Close() {
	_ = s.raw.Close()
	_ = s.raw.SetReadDeadline(longAgo)
}

// CloseWhenDone closes the stream once ctx ends. The returned function gives up
// that watch.
func (s *Stream) CloseWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, s.Close)
}
