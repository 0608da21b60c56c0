package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"figbank"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMessage bounds the size of a message from another process.
	maxMessage figbank.Bytes = 16 << 20
	// maxOpenMessage bounds the size of the message that opens a stream.
	maxOpenMessage figbank.Bytes = 64 << 10
	// trustedBytes is how much memory is taken for a message before its bytes arrive.
	trustedBytes = 128 << 10
)

// receive reads one message of at most limit bytes, preceded by its length.
func receive(reader *bufio.Reader, message proto.Message, limit figbank.Bytes) error {
	size, err := binary.ReadUvarint(reader)
	switch {
	case err != nil:
		return figbank.WrapError("transport", "Receive", err)
	case size > uint64(limit): //nolint:gosec // the limits are positive
		return figbank.WrapError("transport", "Receive", &protodelim.SizeTooLargeError{Size: size, MaxSize: uint64(limit)}) //nolint:gosec // the limits are positive
	}
	content, release, err := readMessage(reader, int(size)) //nolint:gosec // at most limit
	if err != nil {
		return figbank.WrapError("transport", "Receive", err)
	}
	defer release()
	return figbank.WrapError("transport", "Receive", proto.Unmarshal(content, message))
}

// readMessage reads the bytes of a message. They are valid until release is called. A message that does not
// fit into the reader's buffer takes memory only as its bytes arrive.
func readMessage(reader *bufio.Reader, size int) (content []byte, release func(), err error) {
	if size <= reader.Size() {
		content, err = reader.Peek(size)
		return content, func() { _, _ = reader.Discard(size) }, unexpectedEOF(err)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(size, trustedBytes)))
	_, err = io.CopyN(buffer, reader, int64(size))
	return buffer.Bytes(), func() {}, unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF, which stands for the end between two messages.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
