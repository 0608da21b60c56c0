package upstream

import (
	"io"
	"strconv"

	"figbank"
	"figbank/memory"
)

// headLimiter reads from a connection and bounds the bytes of heads. Without a bound, a
// status line or header that does not end would be collected in memory until the caller's
// deadline. Bodies are not bounded here, since they are passed on while they arrive.
type headLimiter struct {
	source io.Reader
	// inHead is set while heads are read. left is how many more bytes they may have.
	inHead bool
	left   int
	// held is the memory for the heads. unpaid is what was read last, for which none is reserved yet.
	held   *memory.Reservation
	unpaid figbank.Bytes
	// full is set once there was no memory for a head. Readers of heads replace the error.
	full bool
}

// begin starts reading heads of at most limit bytes. held must have room for them.
func (h *headLimiter) begin(limit int, held *memory.Reservation) {
	h.inHead, h.left, h.held, h.unpaid, h.full = true, limit, held, 0, false
}

func (h *headLimiter) end() { h.inHead, h.held = false, nil }

// Read returns a ProtocolError once the heads are longer than their bound, and a memory.FullError once
// there is no memory left for them.
func (h *headLimiter) Read(buffer []byte) (int, error) {
	if !h.inHead {
		return h.source.Read(buffer)
	}
	if h.left <= 0 {
		return 0, figbank.ProtocolError{Detail: "head is longer than " + strconv.Itoa(maxHeadBytes) + " bytes"}
	}
	// What was read before belongs to heads, since they are not complete yet. What is read now may
	// belong to the body.
	if !h.held.Grow(h.unpaid) {
		h.full = true
		return 0, memory.FullError{}
	}
	n, err := h.source.Read(buffer[:min(len(buffer), h.left)])
	h.left -= n
	h.unpaid = memory.HeadSize(buffer[:n])
	return n, err
}
