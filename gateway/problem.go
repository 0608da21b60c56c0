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
	// defaultRetryAfter is the value of the Retry-After header when the refusal contains none.
	defaultRetryAfter = time.Second

	// Values of the Figbank-Outcome header.
	outcomeRan     = "Ran"
	outcomeNotRun  = "NotRun"
	outcomeUnknown = "Unknown"
)

type (
	// keyError means that the caller's key is missing or unknown.
	keyError struct {
		detail string
	}

	// unknownServiceError means that no service of this name is declared with the kind that
	// the path requires.
	unknownServiceError struct {
		service figbank.ServiceName
	}

	// forbiddenError means that the workspace may not call the service.
	forbiddenError struct {
		service   figbank.ServiceName
		workspace figbank.Workspace
	}

	// bodyTooLargeError means that the request body is longer than the limit.
	bodyTooLargeError struct {
		limit figbank.Bytes
	}

	// alreadyRanError means that the request with this key has already run, but its
	// response was too large to be recorded. Digest is the SHA-256 of the response's body.
	alreadyRanError struct {
		status int32
		digest []byte
	}

	// bodyTooSlowError means that too little of the request body has arrived in time.
	bodyTooSlowError struct{}

	// problem is a problem body (RFC 9457) with extra members for the outcome, the
	// reason and the request ID.
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
	return fmt.Sprintf("body is longer than %d bytes", e.limit)
}

func (bodyTooSlowError) Error() string { return "the body has not arrived in time" }

func (e alreadyRanError) Error() string {
	return fmt.Sprintf("the request under this key ran with status %d; its answer was too large to keep, SHA-256 %x", e.status, e.digest)
}

// problemOf converts an error into the problem body for the caller.
func problemOf(err error) problem {
	var (
		notRun  figbank.NotRunError
		unknown figbank.UnknownOutcomeError
		claim   claims.RefusedError
	)
	refused := func(status int, title string) problem {
		return problem{Title: title, Status: status, Detail: err.Error(), Outcome: outcomeName(schema.Outcome_OUTCOME_NOT_RUN)}
	}
	switch {
	case errors.As(err, &claim):
		return claimProblem(claim)
	case errors.As(err, new(alreadyRanError)):
		return problem{
			Title: "Request has already run", Status: http.StatusConflict, Detail: err.Error(),
			Outcome: outcomeName(schema.Outcome_OUTCOME_RAN), Reason: "AnswerNotKept",
		}
	case errors.As(err, &notRun):
		p := refused(http.StatusServiceUnavailable, "Request was not run")
		p.Reason = string(notRun.Reason)
		return p
	case errors.As(err, &unknown):
		return problem{
			Title: "Outcome unknown", Status: http.StatusBadGateway, Detail: unknown.Error(),
			Outcome: outcomeName(schema.Outcome_OUTCOME_UNKNOWN),
		}
	case errors.As(err, new(keyError)):
		return refused(http.StatusUnauthorized, "Key refused")
	case errors.As(err, new(unknownServiceError)):
		return refused(http.StatusNotFound, "Unknown service")
	case errors.As(err, new(forbiddenError)):
		return refused(http.StatusForbidden, "Workspace refused")
	case errors.As(err, new(bodyTooLargeError)):
		return refused(http.StatusRequestEntityTooLarge, "Body too large")
	case errors.As(err, new(bodyTooSlowError)):
		return refused(http.StatusRequestTimeout, "Body too slow")
	case errors.As(err, new(figbank.InvalidError)):
		return refused(http.StatusBadRequest, "Invalid request")
	}
	return problem{
		Title: "Outcome unknown", Status: http.StatusBadGateway, Detail: "the upstream failed before its answer was complete",
		Outcome: outcomeName(schema.Outcome_OUTCOME_UNKNOWN),
	}
}

// claimProblem converts a refused claim into a problem body. The refused request was
// not run. If the same request was sent earlier under its key, the body reports the
// outcome of that earlier request.
func claimProblem(claim claims.RefusedError) problem {
	p := problem{Title: "Idempotency key in use", Status: http.StatusConflict, Detail: claim.Detail, Outcome: outcomeName(schema.Outcome_OUTCOME_NOT_RUN)}
	switch claim.Refusal {
	case schema.Refusal_REFUSAL_CLAIM_UNKNOWN:
		p.Title = "Outcome unknown"
		p.Outcome = outcomeName(schema.Outcome_OUTCOME_UNKNOWN)
		p.Reason = "EarlierOutcomeUnknown"
	case schema.Refusal_REFUSAL_CLAIM_MISMATCH:
		p.Status = http.StatusUnprocessableEntity
		p.Reason = "KeyOfAnotherRequest"
	default:
		p.Outcome = outcomeName(schema.Outcome_OUTCOME_UNKNOWN)
		p.Reason = "StillRunning"
	}
	return p
}

// writeProblem responds with a problem body. No part of a response may have been
// sent before.
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

// retryAfter returns the retry delay that err contains, or defaultRetryAfter.
func retryAfter(err error) time.Duration {
	var notRun figbank.NotRunError
	if errors.As(err, &notRun) && notRun.RetryAfter > 0 {
		return notRun.RetryAfter
	}
	return defaultRetryAfter
}

// outcomeOf returns the outcome under which a request that ended with err is counted.
func outcomeOf(err error) schema.Outcome {
	if err == nil {
		return schema.Outcome_OUTCOME_RAN
	}
	if problemOf(err).Outcome == outcomeName(schema.Outcome_OUTCOME_NOT_RUN) {
		return schema.Outcome_OUTCOME_NOT_RUN
	}
	return schema.Outcome_OUTCOME_UNKNOWN
}

func outcomeName(outcome schema.Outcome) string {
	switch outcome {
	case schema.Outcome_OUTCOME_RAN:
		return outcomeRan
	case schema.Outcome_OUTCOME_NOT_RUN:
		return outcomeNotRun
	default:
		return outcomeUnknown
	}
}
