package upstream

import (
	"io"
	"strconv"

	"figbank"
)

// headLimiter reads from a connection and bounds the bytes of heads. Without a bound, a
// status line or header that does not end would be collected in memory until the caller's
// deadline. Bodies are not bounded here, since they are passed on while they arrive.
type headLimiter struct {
	source io.Reader
	// inHead is set while heads are read. left is how many more bytes they may have.
	inHead bool
	left   int
}

func (h *headLimiter) begin(limit int) { h.inHead, h.left = true, limit }
func (h *headLimiter) end()            { h.inHead = false }

// Read returns a ProtocolError once the heads are longer than their bound.
func (h *headLimiter) Read(buffer []byte) (int, error) {
	if !h.inHead {
		return h.source.Read(buffer)
	}
	if h.left <= 0 {
		return 0, figbank.ProtocolError{Detail: "head is longer than " + strconv.Itoa(maxHeadBytes) + " bytes"}
	}
	n, err := h.source.Read(buffer[:min(len(buffer), h.left)])
	h.left -= n
	return n, err
}
