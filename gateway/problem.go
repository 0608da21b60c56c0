package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"figbank"
	"figbank/claims"
	"figbank/schema"
)

const (
	// defaultRetryAfter is what a refused caller is told when nothing better is known.
	defaultRetryAfter = time.Second

	// Values of the outcome header.
	outcomeRan     = "Ran"
	outcomeNotRun  = "NotRun"
	outcomeUnknown = "Unknown"
)

type (
	// keyError refuses a caller's key.
	keyError struct {
		detail string
	}

	// unknownServiceError names a service that is not declared.
	unknownServiceError struct {
		service figbank.ServiceName
	}

	// forbiddenError refuses a workspace.
	forbiddenError struct {
		service   figbank.ServiceName
		workspace figbank.Workspace
	}

	// bodyTooLargeError refuses a request body.
	bodyTooLargeError struct {
		most figbank.Bytes
	}

	// alreadyRanError says that the request under a key has run, but its answer was
	// too large to keep.
	alreadyRanError struct {
		status int32
		digest []byte
	}

	// problem is a problem body (RFC 9457) with the outcome added.
	problem struct {
		Type      string `json:"type"`
		Title     string `json:"title"`
		Status    int    `json:"status"`
		Detail    string `json:"detail"`
		Outcome   string `json:"Outcome"`
		Reason    string `json:"Reason,omitempty"`
		RequestID string `json:"RequestId,omitempty"`
	}
)

func (e keyError) Error() string { return e.detail }

func (e unknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not declared", e.service)
}

func (e forbiddenError) Error() string {
	return fmt.Sprintf("workspace %q may not call service %q", e.workspace, e.service)
}

func (e bodyTooLargeError) Error() string {
	return fmt.Sprintf("body is longer than %d bytes", e.most)
}

func (e alreadyRanError) Error() string {
	return fmt.Sprintf("the request under this key ran with status %d; its answer was too large to keep, SHA-256 %x", e.status, e.digest)
}

// problemOf puts a failure into a caller's words.
func problemOf(err error) problem {
	var (
		notRun  figbank.NotRunError
		unknown figbank.UnknownOutcomeError
		claim   claims.RefusedError
	)
	refused := func(status int, title string) problem {
		return problem{Title: title, Status: status, Detail: err.Error(), Outcome: nameOf(schema.Outcome_OUTCOME_NOT_RUN)}
	}
	switch {
	case errors.As(err, &claim):
		return claimProblem(claim)
	case errors.As(err, new(alreadyRanError)):
		return problem{
			Title: "Request has already run", Status: http.StatusConflict, Detail: err.Error(),
			Outcome: nameOf(schema.Outcome_OUTCOME_RAN), Reason: "AnswerNotKept",
		}
	case errors.As(err, &notRun):
		p := refused(http.StatusServiceUnavailable, "Request was not run")
		p.Reason = string(notRun.Reason)
		return p
	case errors.As(err, &unknown):
		return problem{
			Title: "Outcome unknown", Status: http.StatusBadGateway, Detail: unknown.Error(),
			Outcome: nameOf(schema.Outcome_OUTCOME_UNKNOWN),
		}
	case errors.As(err, new(keyError)):
		return refused(http.StatusUnauthorized, "Key refused")
	case errors.As(err, new(unknownServiceError)):
		return refused(http.StatusNotFound, "Unknown service")
	case errors.As(err, new(forbiddenError)):
		return refused(http.StatusForbidden, "Workspace refused")
	case errors.As(err, new(bodyTooLargeError)):
		return refused(http.StatusRequestEntityTooLarge, "Body too large")
	case errors.As(err, new(figbank.InvalidError)):
		return refused(http.StatusBadRequest, "Invalid request")
	}
	return problem{
		Title: "Outcome unknown", Status: http.StatusBadGateway, Detail: "the upstream failed before its answer was complete",
		Outcome: nameOf(schema.Outcome_OUTCOME_UNKNOWN),
	}
}

// claimProblem speaks of the earlier request: this one was not run.
func claimProblem(claim claims.RefusedError) problem {
	p := problem{Title: "Idempotency key in use", Status: http.StatusConflict, Detail: claim.Detail, Outcome: nameOf(schema.Outcome_OUTCOME_NOT_RUN)}
	switch claim.Refusal {
	case schema.Refusal_REFUSAL_CLAIM_UNKNOWN:
		p.Title = "Outcome unknown"
		p.Outcome = nameOf(schema.Outcome_OUTCOME_UNKNOWN)
		p.Reason = "EarlierOutcomeUnknown"
	case schema.Refusal_REFUSAL_CLAIM_MISMATCH:
		p.Status = http.StatusUnprocessableEntity
		p.Reason = "KeyOfAnotherRequest"
	default:
		p.Outcome = nameOf(schema.Outcome_OUTCOME_UNKNOWN)
		p.Reason = "StillRunning"
	}
	return p
}

// writeProblem answers with a failure; nothing of an answer has been sent yet.
func writeProblem(w http.ResponseWriter, id figbank.RequestID, err error) {
	p := problemOf(err)
	p.Type = "about:blank"
	p.RequestID = string(id)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(headerOutcome, p.Outcome)
	header.Set(headerRequestID, string(id))
	if p.Status == http.StatusServiceUnavailable || p.Reason == "StillRunning" {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter(err).Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func retryAfter(err error) time.Duration {
	var notRun figbank.NotRunError
	if errors.As(err, &notRun) && notRun.RetryAfter > 0 {
		return notRun.RetryAfter
	}
	return defaultRetryAfter
}

// outcomeOf classifies a failure for counting.
func outcomeOf(err error) schema.Outcome {
	if err == nil {
		return schema.Outcome_OUTCOME_RAN
	}
	if problemOf(err).Outcome == nameOf(schema.Outcome_OUTCOME_NOT_RUN) {
		return schema.Outcome_OUTCOME_NOT_RUN
	}
	return schema.Outcome_OUTCOME_UNKNOWN
}

func nameOf(outcome schema.Outcome) string {
	switch outcome {
	case schema.Outcome_OUTCOME_RAN:
		return outcomeRan
	case schema.Outcome_OUTCOME_NOT_RUN:
		return outcomeNotRun
	default:
		return outcomeUnknown
	}
}
