package figbank

import (
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Reasons for refusing a request before it ran.
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
	// ReasonCrashesUpstreams refuses a request that has crashed several upstreams.
	ReasonCrashesUpstreams Reason = "CrashesUpstreams"
)

type (
	// Reason says why a request was not run.
	Reason string

	// NotRunError proves that a request was not run.
	NotRunError struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// UnknownOutcomeError leaves open whether something ran or was committed.
	UnknownOutcomeError struct {
		Detail string
	}

	// CutAnswerError reports an answer that ended before it was complete.
	CutAnswerError struct {
		Detail string
	}

	// NotAcceptedError proves that the log did not accept a command.
	NotAcceptedError struct {
		Leader ProcessID
		Detail string
	}

	// InvalidError reports bad input; Subject names what was wrong.
	InvalidError struct {
		Subject string
		Detail  string
	}

	// ProtocolError reports a message that its sender should not have sent.
	ProtocolError struct {
		Detail string
	}

	// DeadlineError reports a request whose time ran out. NotSent proves that no
	// upstream has run it.
	DeadlineError struct {
		NotSent bool
	}

	// CallerGoneError reports a caller that no longer takes its answer.
	CallerGoneError struct{}

	// FailedAnswerError reports a whole answer by which an upstream says that it
	// failed.
	FailedAnswerError struct {
		Status int
	}

	// CorruptError reports stored or received bytes that fail their check.
	CorruptError struct {
		Subject string
		Detail  string
	}
)

// Error describes the refusal.
func (e NotRunError) Error() string {
	return fmt.Sprintf("request was not run: %s", e.Reason)
}

// Error describes what is unknown.
func (e UnknownOutcomeError) Error() string {
	return "outcome unknown: " + e.Detail
}

// Error describes the cut.
func (e CutAnswerError) Error() string {
	return "answer was cut: " + e.Detail
}

// Error describes why the log did not accept the command.
func (e NotAcceptedError) Error() string {
	return "log did not accept the command: " + e.Detail
}

// Error names the bad input.
func (e InvalidError) Error() string {
	return fmt.Sprintf("invalid %s: %s", e.Subject, e.Detail)
}

// Error describes the bad message.
func (e ProtocolError) Error() string {
	return "protocol violation: " + e.Detail
}

// Error says that the time ran out.
func (e DeadlineError) Error() string {
	if e.NotSent {
		return "deadline passed before the request was sent to an upstream"
	}
	return "deadline passed before the answer was complete"
}

// Error says that the caller left.
func (e CallerGoneError) Error() string {
	return "the caller no longer takes its answer"
}

// Error gives the status.
func (e FailedAnswerError) Error() string {
	return fmt.Sprintf("upstream failed with status %d", e.Status)
}

// Error names the corrupt bytes.
func (e CorruptError) Error() string {
	return fmt.Sprintf("corrupt %s: %s", e.Subject, e.Detail)
}

// Fail wraps err with the part that failed and a code. Pairs are alternating
// names and values that help to understand the failure.
func Fail(part, code string, err error, pairs ...any) error {
	if err == nil {
		return nil
	}
	return oops.In(part).Code(code).With(pairs...).Wrap(err)
}
