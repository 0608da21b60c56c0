// Package caller implements a client of gateways: it builds requests and reads the
// outcome from answers. The demo and the measurements use it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"figbank"
	"figbank/deployment"
)

const (
	// ChatPath is the path for chat completions.
	ChatPath = "/v1/chat/completions"
	// NotRun is the outcome of requests that have certainly not run.
	NotRun = "NotRun"
	// StillRunning is the reason of a refusal because an earlier request with the same
	// idempotency key still runs. The refused request can be sent again under that key.
	StillRunning = "StillRunning"

	outcomeHeader = "Figbank-Outcome"
	doneLine      = "data: [DONE]"
	otherReason   = "Other"
)

// Answer is a received HTTP response, which may be incomplete.
type Answer struct {
	Status  int
	Outcome string
	// Reason is read from the body; see NewAnswer.
	Reason string
	Header http.Header
	Body   []byte
	// Incomplete is set if the answer ended before it was complete.
	Incomplete bool
}

// ServicePath returns the path for a call of a plain service.
func ServicePath(service figbank.ServiceName, call string) string {
	return "/services/" + string(service) + "/" + call
}

// NewRequest returns a POST request of a workspace, authenticated with its
// deployment.CallerKey. The request has an idempotency key unless key is empty. Base is the
// gateway's URL, or empty for a handler that is called directly.
func NewRequest(ctx context.Context, base, path string, workspace figbank.Workspace, key string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, figbank.WrapError("caller", "Request", err)
	}
	request.Header.Set("Authorization", "Bearer "+deployment.CallerKey(workspace))
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}

// NewAnswer returns the answer in an HTTP response. The answer's reason is the field Reason of
// the body or, without that field, the field Title. If the body cannot be parsed as a JSON
// object, the reason is "Other".
func NewAnswer(status int, header http.Header, body []byte, incomplete bool) Answer {
	return Answer{
		Status: status, Outcome: header.Get(outcomeHeader), Reason: reasonOf(body), Header: header, Body: body, Incomplete: incomplete,
	}
}

func reasonOf(body []byte) string {
	var problem struct{ Title, Reason string }
	if json.Unmarshal(body, &problem) != nil {
		return otherReason
	}
	if problem.Reason == "" {
		return problem.Title
	}
	return problem.Reason
}

// StreamedText returns the joined text of a chat completion's server-sent events, and
// whether the stream has its end marker.
func StreamedText(body []byte) (text string, complete bool) {
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		line := scanner.Text()
		if line == doneLine {
			return text, true
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found || json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		for _, choice := range event.Choices {
			text += choice.Delta.Content
		}
	}
	return text, false
}
