package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"figbank"
	"figbank/configuration"
	"figbank/memory"
	"figbank/relay"
	"figbank/routing"
	"figbank/schema"

	"github.com/google/uuid"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Figbank-Outcome"
	chatPath             = "/v1/chat/completions"
	readBufferBytes      = 32 << 10
	// affinityPrefixBytes is how many bytes of a prompt determine the upstream that
	// is likely to have the prefix in its cache.
	affinityPrefixBytes = 512
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 255
	subjectBody  = "body"
)

type (
	// request holds a caller's request for the relay, and what only the gateway needs.
	request struct {
		relay.Request
		// key is the caller's idempotency key. It is empty if there is none.
		key         string
		reservation *memory.Reservation
	}

	// chatBody holds the fields that the gateway reads from the body of a chat
	// completion request.
	chatBody struct {
		Model     string          `json:"model"`
		MaxTokens int64           `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
	}
)

// droppedHeaders are forwarded neither to upstreams nor to callers. They apply to a single
// connection only (RFC 9110, section 7.6.1) or to this gateway only.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect",
	headerRequestID,
	// In a compressed event stream, the end marker could not be recognized.
	"Accept-Encoding",
}

// authenticate returns the workspace of the key that the caller sent.
func (g *Gateway) authenticate(r *http.Request) (figbank.Workspace, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", keyError{detail: "a key is needed, as Authorization: Bearer KEY"}
	}
	sum := sha256.Sum256([]byte(key))
	workspace, known := g.settings.CallerKeys[hex.EncodeToString(sum[:])]
	if !known {
		return "", keyError{detail: "the key is not known here"}
	}
	return workspace, nil
}

// readRequest reads a request and its body within the memory budget. Unless it returns an
// error, its caller must release the request's reservation.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, workspace figbank.Workspace) (*request, error) {
	req := &request{
		Request: relay.Request{ID: newRequestID(), Workspace: workspace, Method: r.Method},
		key:     r.Header.Get(headerIdempotencyKey), reservation: g.memory.Reserve(memory.Request, 0),
	}
	if len(req.key) > maxKeyLength {
		return nil, figbank.InvalidError{Subject: headerIdempotencyKey, Detail: "longer than 255 bytes"}
	}
	if !figbank.IsText(req.key) {
		return nil, figbank.InvalidError{Subject: headerIdempotencyKey, Detail: "bytes that are no UTF-8"}
	}
	req.Headers = forwardedHeaders(r.Header)
	if !req.reservation.Grow(g.settings.Relay.StreamWindow) {
		return nil, figbank.NotRunError{Reason: figbank.ReasonMemoryFull}
	}
	body, err := g.readBody(w, r, req.reservation)
	if err != nil {
		req.reservation.Release()
		return nil, err
	}
	req.Body = body
	return req, nil
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, reservation *memory.Reservation) ([]byte, error) {
	if r.ContentLength > int64(g.settings.MaxBody) {
		return nil, bodyTooLargeError{limit: g.settings.MaxBody}
	}
	var body []byte
	piece := make([]byte, readBufferBytes)
	paced := newPacedBody(g.common.Clock, w, r.Body)
	for {
		n, err := paced.Read(piece)
		if n > 0 && !reservation.Grow(figbank.Bytes(n)) {
			return nil, figbank.NotRunError{Reason: figbank.ReasonMemoryFull}
		}
		body = append(body, piece[:n]...)
		switch {
		case figbank.Bytes(len(body)) > g.settings.MaxBody:
			return nil, bodyTooLargeError{limit: g.settings.MaxBody}
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, bodyTooSlowError{}
		case err != nil:
			return nil, figbank.NotRunError{Reason: figbank.ReasonCallerGone}
		}
	}
}

// parseChat fills in the request from its chat completion body. The service is
// the body's model.
func (req *request) parseChat() error {
	var chat chatBody
	if err := json.Unmarshal(req.Body, &chat); err != nil {
		return figbank.InvalidError{Subject: subjectBody, Detail: "not a JSON object of a chat completion"}
	}
	if chat.Model == "" {
		return figbank.InvalidError{Subject: subjectBody, Detail: "model is missing"}
	}
	req.Service = figbank.ServiceName(chat.Model)
	req.Path = chatPath
	req.Cost = routing.CostOf(figbank.Bytes(len(req.Body)), chat.MaxTokens)
	prefix := string(chat.Messages[:min(len(chat.Messages), affinityPrefixBytes)])
	req.Affinity = routing.AffinityOf(req.Workspace, prefix)
	return nil
}

// setService fills in the request for a plain service.
func (req *request) setService(name, path, query string) {
	req.Service = figbank.ServiceName(name)
	req.Path = path
	if query != "" {
		req.Path += "?" + query
	}
	req.Cost = routing.CostOf(figbank.Bytes(len(req.Body)), 0)
}

// authorize checks the request against the current declaration of its service,
// and sets whether the request may be repeated.
func (g *Gateway) authorize(req *request, kind string) error {
	declared := configuration.Declaration(g.holder.Current(), req.Service)
	switch {
	case declared == nil || declared.GetKind() != kind:
		return unknownServiceError{service: req.Service}
	case !configuration.Allows(declared, req.Workspace):
		return forbiddenError{service: req.Service, workspace: req.Workspace}
	}
	// Requests with a safe method may be repeated at any service (RFC 9110, section 9.2.1).
	req.Repeatable = declared.GetRepeatable() || req.Method == http.MethodGet || req.Method == http.MethodHead
	return nil
}

// fingerprint returns a digest of the request. It shows whether an idempotency key was used
// for another request.
func (req *request) fingerprint() []byte {
	hash := sha256.New()
	for _, part := range []string{req.Method, req.Path, string(req.Body)} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return hash.Sum(nil)
}

func newRequestID() figbank.RequestID {
	// An ID chosen by the caller is not used, since two callers may choose the same.
	return figbank.RequestID(uuid.NewString())
}

func forwardedHeaders(header http.Header) []*schema.Header {
	var headers []*schema.Header
	for name, values := range header {
		if slices.Contains(droppedHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &schema.Header{Name: name, Value: []byte(value)})
		}
	}
	return headers
}
