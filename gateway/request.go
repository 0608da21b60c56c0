package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"figbank"
	"figbank/configuration"
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
	readPiece            = 32 << 10
	// affinityPrefix is how many bytes of a prompt decide which upstream likely
	// has its prefix in cache.
	affinityPrefix = 512
	maxKeyLength   = 255
	subjectBody    = "body"
)

type (
	// request is one caller's request.
	request struct {
		relay.Request
		// key is the caller's idempotency key, empty for none.
		key         string
		reservation *reservation
	}

	// chatBody is what the gateway reads of a chat completion's body.
	chatBody struct {
		Model     string          `json:"model"`
		MaxTokens int64           `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
	}
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1), or this
// gateway only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect",
	headerRequestID,
	// Compressed, the end mark of an event stream could not be seen.
	"Accept-Encoding",
}

// authenticate returns the workspace whose key the caller shows.
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

// readRequest takes in a request and its body within the memory budget. Its
// reservation must be released.
func (g *Gateway) readRequest(r *http.Request, workspace figbank.Workspace) (*request, error) {
	req := &request{
		Request: relay.Request{ID: newRequestID(), Workspace: workspace, Method: r.Method},
		key:     r.Header.Get(headerIdempotencyKey), reservation: g.memory.reserve(),
	}
	if len(req.key) > maxKeyLength {
		return nil, figbank.InvalidError{Subject: headerIdempotencyKey, Detail: "longer than 255 bytes"}
	}
	req.Headers = forwarded(r.Header)
	if !req.reservation.grow(int64(g.settings.Relay.StreamWindow)) {
		return nil, figbank.NotRunError{Reason: figbank.ReasonMemoryFull}
	}
	body, err := g.readBody(r, req.reservation)
	if err != nil {
		req.reservation.release()
		return nil, err
	}
	req.Body = body
	return req, nil
}

func (g *Gateway) readBody(r *http.Request, held *reservation) ([]byte, error) {
	if r.ContentLength > int64(g.settings.MaxBody) {
		return nil, bodyTooLargeError{most: g.settings.MaxBody}
	}
	var body []byte
	piece := make([]byte, readPiece)
	for {
		n, err := r.Body.Read(piece)
		if n > 0 && !held.grow(int64(n)) {
			return nil, figbank.NotRunError{Reason: figbank.ReasonMemoryFull}
		}
		body = append(body, piece[:n]...)
		switch {
		case figbank.Bytes(len(body)) > g.settings.MaxBody:
			return nil, bodyTooLargeError{most: g.settings.MaxBody}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, figbank.NotRunError{Reason: figbank.ReasonCallerGone}
		}
	}
}

// asChat makes a request one to the service that its body's model names.
func (req *request) asChat() error {
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
	prefix := string(chat.Messages[:min(len(chat.Messages), affinityPrefix)])
	req.Affinity = routing.AffinityOf(req.Workspace, prefix)
	return nil
}

// asService makes a request one to a plain service.
func (req *request) asService(name, path, query string) {
	req.Service = figbank.ServiceName(name)
	req.Path = path
	if query != "" {
		req.Path += "?" + query
	}
	req.Cost = routing.CostOf(figbank.Bytes(len(req.Body)), 0)
}

// permit checks the request against the declarations in force.
func (g *Gateway) permit(req *request, kind string) error {
	declared := configuration.Declared(g.holder.Current(), req.Service)
	switch {
	case declared == nil || declared.GetKind() != kind:
		return unknownServiceError{service: req.Service}
	case !configuration.Allows(declared, req.Workspace):
		return forbiddenError{service: req.Service, workspace: req.Workspace}
	}
	// Safe methods may be repeated whatever the service is (RFC 9110, section 9.2.1).
	req.Repeatable = declared.GetRepeatable() || req.Method == http.MethodGet || req.Method == http.MethodHead
	return nil
}

func (req *request) fingerprint() []byte {
	hash := sha256.New()
	for _, part := range []string{req.Method, req.Path, string(req.Body)} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return hash.Sum(nil)
}

func newRequestID() figbank.RequestID {
	// A caller's own id is not used: two callers may choose the same.
	return figbank.RequestID(uuid.NewString())
}

func forwarded(header http.Header) []*schema.Header {
	var headers []*schema.Header
	for name, values := range header {
		if slices.Contains(hopHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &schema.Header{Name: name, Value: value})
		}
	}
	return headers
}
