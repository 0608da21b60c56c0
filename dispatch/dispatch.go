// Package dispatch carries a request to an upstream and its answer back: it
// places the request, tries again where that is allowed, and goes on with a
// stream at another upstream. How upstreams are spoken to is behind Transport.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"figbank"
	"figbank/traffic"
)

type (
	// Request is one caller's request with all that deciders need.
	Request struct {
		ID figbank.RequestID
		// Route is where it matched, Service the one that was drawn for it.
		Route   *traffic.Route
		Service figbank.ServiceName
		// Workspace holds the caller's key; nil on public routes.
		Workspace *traffic.Workspace
		Method    string
		// Target is the request line's target, unchanged.
		Target string
		Host   string
		// Header holds what goes to the upstream as the caller sent it.
		Header http.Header
		Body   []byte
		// Model is the model that the request names, empty for plain services.
		Model string
		// PromptTokens and AnswerTokens are what the caller says it sends and wants at most.
		PromptTokens int
		AnswerTokens int
		// LastEvent is the id of the last event that the caller has, for streams.
		LastEvent  string
		ReceivedAt time.Time
		// Deadline is when the answer must have ended.
		Deadline time.Time
	}

	// Hop is what one upstream is told besides the request.
	Hop struct {
		Address  figbank.Address
		Upstream figbank.UpstreamID
		// Version is the version of the weights that must serve it, 0 for any.
		Version int64
		// Left is the time until the deadline.
		Left time.Duration
		// LastEvent is the id of the last event that the caller has.
		LastEvent string
	}

	// Answer is the head of an upstream's answer. Body must be closed.
	Answer struct {
		Status int
		Header http.Header
		// Length is -1 when the head does not tell.
		Length int64
		Body   io.ReadCloser
		// Load is what the upstream says it holds; nil when it does not.
		Load *ReportedLoad
		// Events is set when the body is a series of events.
		Events bool
	}

	// ReportedLoad is an upstream's own count of requests.
	ReportedLoad struct {
		Running, Waiting, Slots int
	}

	// Transport speaks to upstreams.
	Transport interface {
		// Send returns once the head of the answer is there. An error of type
		// NotRunError proves that the request was not run and will not be.
		Send(ctx context.Context, request *Request, hop Hop) (*Answer, error)
	}

	// Reply takes an answer to the caller.
	Reply interface {
		// Head sends status and headers. Length is -1 when it is not known.
		Head(status int, header http.Header, length int64)
		// Write passes a piece on at once.
		Write(piece []byte) error
		// Started tells whether Head has been called.
		Started() bool
	}
)
