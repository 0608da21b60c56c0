package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"figbank"
)

const (
	// bodyPaceBytes is how many bytes of a request's body must arrive in each bodyPaceTime, unless the
	// body ends.
	bodyPaceBytes = 16 << 10
	bodyPaceTime  = 5 * time.Second
)

// pacedBody is the body of a request. Reading it fails when too few bytes arrive, since what has been read
// takes memory that other requests need.
type pacedBody struct {
	body       io.Reader
	clock      figbank.Clock
	controller *http.ResponseController
	// arrived counts the bytes since the deadline was set.
	arrived int
}

func newPacedBody(clock figbank.Clock, w http.ResponseWriter, body io.Reader) *pacedBody {
	b := &pacedBody{body: body, clock: clock, controller: http.NewResponseController(w)}
	b.extend()
	return b
}

// Read removes the deadline at the end of the body, since the connection may carry further requests.
func (b *pacedBody) Read(buffer []byte) (int, error) {
	n, err := b.body.Read(buffer)
	b.arrived += n
	switch {
	case errors.Is(err, io.EOF):
		_ = b.controller.SetReadDeadline(time.Time{})
	case b.arrived >= bodyPaceBytes:
		b.extend()
	}
	return n, err
}

// extend gives the next bytes their time. A test's recorder has no deadline, and its body does not block.
func (b *pacedBody) extend() {
	b.arrived = 0
	_ = b.controller.SetReadDeadline(b.clock.Now().Add(bodyPaceTime))
}
