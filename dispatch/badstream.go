package dispatch

import (
	"errors"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"figbank"
)

// maxQuoted is how many bytes of what an upstream sent are quoted in the log.
const maxQuoted = 64

// What is wrong with the bytes of a stream. The names are written to the log and the metrics.
const (
	noFault       streamFault = ""
	faultHead     streamFault = "NoStream"
	faultGrammar  streamFault = "NoEvent"
	faultLength   streamFault = "TooLong"
	faultOrder    streamFault = "WrongOrder"
	faultNumber   streamFault = "NoNumber"
	faultData     streamFault = "NoData"
	faultField    streamFault = "UnknownField"
	faultText     streamFault = "NoText"
	faultFiller   streamFault = "TooMuchFiller"
	faultVersion  streamFault = "WrongVersion"
	faultFollower streamFault = "NoEventBehind"
)

type (
	// streamFault tells why bytes of an upstream are not passed on.
	streamFault string

	// streamError reports bytes of an upstream that cannot be the next event of a stream.
	streamError struct {
		fault streamFault
		cause error
		// quoted holds the first of the bytes.
		quoted []byte
	}
)

// Error describes the violation.
func (e streamError) Error() string { return e.cause.Error() }

// Unwrap returns the cause, which is a ProtocolError.
func (e streamError) Unwrap() error { return e.cause }

// newStreamError returns a streamError that quotes the first of the bytes.
func newStreamError(fault streamFault, detail string, content []byte) error {
	return quoteBytes(fault, figbank.ProtocolError{Detail: detail}, content)
}

// quoteBytes returns a streamError for the cause.
func quoteBytes(fault streamFault, cause error, content []byte) error {
	return streamError{fault: fault, cause: cause, quoted: slices.Clone(content[:min(len(content), maxQuoted)])}
}

// logBadStream logs and counts an attempt that has ended because of the bytes that the upstream sent.
func (r *run) logBadStream(attempt int, target *Target, err error) {
	var bad streamError
	if !errors.As(err, &bad) {
		return
	}
	r.log.Warn("bytes of an upstream are no event", zap.String("upstream", string(target.ID)), zap.Int("attempt", attempt),
		zap.String("reason", string(bad.fault)), zap.Bool("resumed", r.resumedAfter != ""), zap.String("after", r.resumedAfter),
		zap.Bool("framed", r.framed), zap.Int("events", r.events), zap.String("lastEvent", r.lastEvent),
		zap.String("bytes", strconv.QuoteToASCII(string(bad.quoted))), figbank.ErrorField(err))
	r.common.Scope.Tagged(map[string]string{"reason": string(bad.fault)}).Counter("bad_streams").Inc(1)
}
