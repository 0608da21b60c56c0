// Package transport carries protobuf messages between figbank's processes. A
// process keeps one yamux session over TCP to each process that it connects to, and
// opens a stream in it for each exchange.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"figbank"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// readBuffer is the size of a stream's read buffer in bytes. It is small, since every
// open stream has one.
const readBuffer = 4 << 10

// pastDeadline is a time in the past. As a read deadline it makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// Stream exchanges messages with one peer. One goroutine may send while another
// receives. Concurrent senders are serialized, but only one goroutine may receive.
type Stream struct {
	raw    *yamux.Stream
	reader *bufio.Reader
	// meter counts the stream's traffic; nil if it is not counted.
	meter *kindMeter

	sendMu sync.Mutex
	buffer bytes.Buffer
}

func newStream(raw *yamux.Stream) *Stream {
	return &Stream{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// Send writes one message, preceded by its length. After an EncodingError the stream goes on without the message.
func (s *Stream) Send(message proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.buffer.Reset()
	if _, err := protodelim.MarshalTo(&s.buffer, message); err != nil {
		return figbank.WrapError("transport", "Marshal", figbank.EncodingError{Detail: err.Error()})
	}
	s.meter.countSent(s.buffer.Len())
	_, err := s.raw.Write(s.buffer.Bytes())
	return figbank.WrapError("transport", "Send", err)
}

// Receive reads one message into message. The error wraps io.EOF when the peer has
// finished sending.
func (s *Stream) Receive(message proto.Message) error {
	return s.ReceiveAtMost(message, maxMessage)
}

// ReceiveAtMost is like Receive, for messages of at most limit bytes.
func (s *Stream) ReceiveAtMost(message proto.Message, limit figbank.Bytes) error {
	if err := receive(s.reader, message, limit); err != nil {
		return err
	}
	if s.meter != nil {
		s.meter.countReceived(proto.Size(message))
	}
	return nil
}

// Close ends the stream in both directions and interrupts a blocked Receive.
func (s *Stream) Close() {
	_ = s.raw.Close()
	_ = s.raw.SetReadDeadline(pastDeadline)
}

// closeWithPeer closes a stream on which this process only sends once the peer has ended it. Otherwise messages
// would be written without an error and never read, as yamux leaves the other direction open.
func (s *Stream) closeWithPeer() {
	_, _ = io.Copy(io.Discard, s.raw)
	s.Close()
}

// CloseWhenDone closes the stream when ctx ends, unless stop is called before. stop
// reports whether it prevented the closing.
func (s *Stream) CloseWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, s.Close)
}
