// Package caller is a caller of a gateway: it writes requests and reads what
// answers say of their outcome. The demo and the measures call through it.
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
	// ChatPath is where completions are asked for.
	ChatPath = "/v1/chat/completions"
	// NotRun is the outcome of requests that certainly have not run.
	NotRun = "NotRun"
	// StillRunning is the reason of an answer to a request whose key is taken by
	// one that has no outcome yet. It can be sent again under the same key.
	StillRunning = "StillRunning"

	outcomeHeader = "Figbank-Outcome"
	doneLine      = "data: [DONE]"
	otherReason   = "Other"
)

// Answer is one HTTP answer, read to its end.
type Answer struct {
	Status  int
	Outcome string
	Reason  string
	Header  http.Header
	Body    []byte
	// Cut is set when the answer did not end as it should.
	Cut bool
}

// ServicePath is where a plain service's call is sent.
func ServicePath(service figbank.ServiceName, call string) string {
	return "/services/" + string(service) + "/" + call
}

// NewRequest returns a request of a workspace, under an idempotency key unless
// key is empty. Base is the gateway's URL, empty for a handler called directly.
func NewRequest(ctx context.Context, base, path string, workspace figbank.Workspace, key string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, figbank.Fail("caller", "Request", err)
	}
	request.Header.Set("Authorization", "Bearer "+deployment.CallerKey(workspace))
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}

// Read makes an answer of what came back.
func Read(status int, header http.Header, body []byte, cut bool) Answer {
	return Answer{
		Status: status, Outcome: header.Get(outcomeHeader), Reason: reasonOf(body), Header: header, Body: body, Cut: cut,
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

// StreamedText joins the text of a stream of server-sent events. Whole is set
// when the stream has its end mark.
func StreamedText(body []byte) (text string, whole bool) {
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
