// Package dispatch sends a request to an upstream and forwards the answer to the
// caller. It chooses the upstream, retries where that is allowed, and resumes a
// broken stream at another upstream. Transport hides the protocol to upstreams.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"figbank"
	"figbank/load"
	"figbank/traffic"
)

type (
	// Request holds a caller's request, and what is needed to choose an upstream for it and
	// to decide on a retry.
	Request struct {
		ID figbank.RequestID
		// Route is the route that the request matched. Service is the service that was
		// drawn from the route's weighted shares.
		Route   *traffic.Route
		Service figbank.ServiceName
		// Workspace is the holder of the caller's key, nil when the request needs no key.
		Workspace *traffic.Workspace
		Method    string
		// Target is the unchanged target of the request line.
		Target string
		Host   string
		// Header holds the caller's headers that go to the upstream unchanged.
		Header http.Header
		Body   []byte
		// Model is the model that the request names, empty when it names none. An upstream with
		// an engine gets the request only if it has this model loaded.
		Model string
		// PromptTokens is the prompt's length in tokens, as the caller states it. AnswerTokens
		// is the length, in tokens, of the longest answer that the caller asks for.
		PromptTokens int
		AnswerTokens int
		// SharedParts are the ids of the parts of the prompt that other requests may have too.
		SharedParts []string
		// LastEvent is the id of the last event of a stream that the caller has already received.
		LastEvent  string
		ReceivedAt time.Time
		// Deadline is the time by which the answer must be complete.
		Deadline time.Time
	}

	// Attempt holds the upstream of one attempt, and what it is sent besides the request.
	Attempt struct {
		Address  figbank.Address
		Upstream figbank.UpstreamID
		// Version is the version of the weights that must serve the request, 0 for any.
		Version int64
		// TimeLeft is the time until the deadline.
		TimeLeft time.Duration
		// LastEvent is the id of the last event that the caller has already received.
		LastEvent string
		// RecordLimit is called with the limit that the upstream's answer names, a refusal too. It
		// may be nil.
		RecordLimit func(figbank.RequestsPerSecond)
		// RecordNotice is called with what the upstream's answer, a refusal too, says of further
		// requests. It may be nil.
		RecordNotice func(load.Notice)
		// Ranked is set if the upstream's requests differ in urgency. Rank then orders those that wait there, the most urgent
		// ones have 0.
		Ranked bool
		Rank   int
		// MaySend is called right before the request is sent. If it returns false, the request is not
		// sent, and Send returns a NotRunError. It may be nil.
		MaySend func() bool
	}

	// Answer is an upstream's answer with its body still to be read. The receiver must
	// close Body.
	Answer struct {
		Status int
		Header http.Header
		// Length is the body's length, -1 when the head does not state it.
		Length int64
		// Unframed is set if the body ends with the connection.
		Unframed bool
		Body     io.ReadCloser
		// Load is the load that the upstream reports with the answer, nil when it reports none.
		Load *load.Report
		// NamesLimit is set when the answer names a limit.
		NamesLimit bool
		// Events is set when the body is an event stream.
		Events bool
		// ClaimsNotRun is set if callers take the status as a promise that the request has not run, of which the
		// upstream has given no proof.
		ClaimsNotRun bool
		// VersionField is the name of the field in which an event states the version of the weights,
		// empty if there is none. Version is the version that the head states, 0 for none.
		VersionField string
		Version      int64
	}

	// Transport sends requests to upstreams. It must be safe for concurrent use.
	Transport interface {
		// Send returns as soon as the head of the answer has arrived. An error of
		// type NotRunError proves that the request did not run and will not run.
		Send(ctx context.Context, request *Request, attempt Attempt) (*Answer, error)
	}

	// Reserver asks for places at upstreams, which all gateways share. It must be safe for
	// concurrent use.
	Reserver interface {
		// Reserve returns false if it is unknown whether there is a place.
		Reserve(ctx context.Context, target *Target, request PlaceRequest) (PlaceAnswer, bool)
	}

	// PlaceRequest asks for a place for a request.
	PlaceRequest struct {
		Service      figbank.ServiceName
		PromptTokens int
		// Allowed is the longest time until the answer begins.
		Allowed time.Duration
		// Lifetime is the time until the request's deadline.
		Lifetime time.Duration
		// KeepFree is the number of places that must stay free for more urgent requests.
		KeepFree int
	}

	// PlaceAnswer tells whether a place was granted.
	PlaceAnswer struct {
		Granted bool
		// Predicted is the predicted time until the answer begins, by the keeper's counts.
		Predicted time.Duration
		// Outstanding is how many places were taken before.
		Outstanding int
		// Place is the granted place.
		Place Place
	}

	// Place is a place that was granted. Its methods do not block.
	Place interface {
		// Begun reports that the answer has begun.
		Begun()
		// End gives the place back. It must be called exactly once.
		End()
	}

	// ResponseWriter writes the answer to the caller.
	ResponseWriter interface {
		// Head sends status and headers. Length is -1 when it is unknown.
		Head(status int, header http.Header, length int64)
		// Write sends a part of the body, which may be empty, without delay. Head must have
		// been called before. Write returns CallerGoneError if the caller has disconnected.
		Write(piece []byte) error
		// Started reports whether Head has been called.
		Started() bool
	}
)
