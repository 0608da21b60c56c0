package figbank

import (
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Reasons for which a request is not run. They are sent in this spelling to callers and
// between processes.
const (
	ReasonUpstreamFull     Reason = "UpstreamFull"
	ReasonUpstreamLeaving  Reason = "UpstreamLeaving"
	ReasonDomainOut        Reason = "FailureDomainOut"
	ReasonWrongVersion     Reason = "WrongVersion"
	ReasonWrongService     Reason = "WrongService"
	ReasonNoUpstream       Reason = "NoUpstream"
	ReasonUnreachable      Reason = "Unreachable"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonQueueTimeout     Reason = "QueueTimeout"
	ReasonMemoryFull       Reason = "MemoryFull"
	ReasonShuttingDown     Reason = "ShuttingDown"
	ReasonLogUnavailable   Reason = "LogUnavailable"
	ReasonRetriesExhausted Reason = "RetriesExhausted"
	ReasonCallerGone       Reason = "CallerGone"
	ReasonUpstreamBusy     Reason = "UpstreamBusy"
	ReasonOtherIncarnation Reason = "OtherIncarnation"
	ReasonNoRules          Reason = "NoTrafficRules"
	// ReasonCrashesUpstreams applies to a request that has crashed several upstreams.
	ReasonCrashesUpstreams Reason = "CrashesUpstreams"
)

type (
	// Reason tells why a request was not run.
	Reason string

	// NotRunError reports that a request was certainly not run. RetryAfter is how long to wait
	// before sending the request again, or 0 if that time is unknown.
	NotRunError struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// UnknownOutcomeError reports that a request may have run, or that a command may have
	// been committed.
	UnknownOutcomeError struct {
		Detail string
	}

	// IncompleteAnswerError reports an answer that ended before it was complete.
	IncompleteAnswerError struct {
		Detail string
	}

	// NotAcceptedError reports that the log certainly did not accept a command. Leader is the
	// current leader, or empty if the leader is unknown.
	NotAcceptedError struct {
		Leader ProcessID
		Detail string
	}

	// InvalidError reports invalid input. Subject names the invalid thing.
	InvalidError struct {
		Subject string
		Detail  string
	}

	// ProtocolError reports a message that violates the protocol.
	ProtocolError struct {
		Detail string
	}

	// EncodingError reports a message that cannot be encoded. Nothing of it has been sent or stored.
	EncodingError struct {
		Detail string
	}

	// DeadlineError reports a request whose deadline passed. If NotSent is set, no
	// upstream has run the request.
	DeadlineError struct {
		NotSent bool
	}

	// CallerGoneError reports that the answer can no longer be sent to the caller, for
	// example because the caller has closed its connection.
	CallerGoneError struct{}

	// FailedAnswerError reports a complete answer with a status that means a failure of
	// the upstream.
	FailedAnswerError struct {
		Status int
	}

	// CorruptError reports stored or received bytes that fail verification, such as a
	// checksum. Subject names the bytes.
	CorruptError struct {
		Subject string
		Detail  string
	}
)

// Error gives the reason.
func (e NotRunError) Error() string {
	return fmt.Sprintf("request was not run: %s", e.Reason)
}

// Error describes what failed.
func (e UnknownOutcomeError) Error() string {
	return "outcome unknown: " + e.Detail
}

// Error describes how the answer ended.
func (e IncompleteAnswerError) Error() string {
	return "answer was cut: " + e.Detail
}

// Error describes why the log did not accept the command.
func (e NotAcceptedError) Error() string {
	return "log did not accept the command: " + e.Detail
}

// Error names the invalid input and describes what is wrong.
func (e InvalidError) Error() string {
	return fmt.Sprintf("invalid %s: %s", e.Subject, e.Detail)
}

// Error describes the violation.
func (e ProtocolError) Error() string {
	return "protocol violation: " + e.Detail
}

// Error describes what cannot be encoded.
func (e EncodingError) Error() string {
	return "message cannot be encoded: " + e.Detail
}

// Error describes whether the request had been sent when the deadline passed.
func (e DeadlineError) Error() string {
	if e.NotSent {
		return "deadline passed before the request was sent to an upstream"
	}
	return "deadline passed before the answer was complete"
}

// Error describes the failure.
func (e CallerGoneError) Error() string {
	return "the answer can no longer be sent to the caller"
}

// Error gives the status of the answer.
func (e FailedAnswerError) Error() string {
	return fmt.Sprintf("upstream failed with status %d", e.Status)
}

// Error names the corrupt bytes and describes what is wrong.
func (e CorruptError) Error() string {
	return fmt.Sprintf("corrupt %s: %s", e.Subject, e.Detail)
}

// WrapError wraps err with the part of the process that failed and an error code. It
// returns nil if err is nil. Pairs are alternating names and values, which are attached to the
// error for diagnosis.
func WrapError(part, code string, err error, pairs ...any) error {
	if err == nil {
		return nil
	}
	return oops.In(part).Code(code).With(pairs...).Wrap(err)
}
