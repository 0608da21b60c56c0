package memory

import "figbank"

// Uses of the budget, the most expendable first.
const (
	// Answer is an answer that is kept until it is complete. Without room it is passed on as it
	// arrives, and the caller loses nothing but the retry.
	Answer Use = iota
	// Event is the head of an answer, or an event of a stream, that is incomplete. Without room the
	// attempt ends.
	Event
	// Body is the body of a caller's request. Without room the request is refused before it is sent.
	Body
	// Request is what each request needs at least. Without room it is refused before it is sent.
	Request

	uses
)

// eighths is the number by which the shares of uses are divided.
const eighths = 8

// shares are how many eighths of the budget may be in use when a use takes more. The more expendable
// ones stop first, so that answers without end leave room for other callers' requests.
var shares = [uses]figbank.Bytes{Answer: 4, Event: 6, Body: 7, Request: 8}

// Use is what a reservation is for.
type Use int

// String returns the name of the use.
func (u Use) String() string {
	return [uses]string{Answer: "Answer", Event: "Event", Body: "Body", Request: "Request"}[u]
}

// most returns how many bytes may be in use after a reservation for use has grown.
func most(use Use, limit figbank.Bytes) figbank.Bytes {
	return limit / eighths * shares[use]
}
