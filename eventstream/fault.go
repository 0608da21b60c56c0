package eventstream

import (
	"slices"

	"figbank"
)

// MaxQuoted is how many bytes of what an upstream sent are quoted in the log.
const MaxQuoted = 64

// What is wrong with the bytes of a stream. The names are written to the log and the metrics.
const (
	NoFault       Fault = ""
	FaultHead     Fault = "NoStream"
	FaultGrammar  Fault = "NoEvent"
	FaultLength   Fault = "TooLong"
	FaultOrder    Fault = "WrongOrder"
	FaultNumber   Fault = "NoNumber"
	FaultData     Fault = "NoData"
	FaultField    Fault = "UnknownField"
	FaultText     Fault = "NoText"
	FaultFiller   Fault = "TooMuchFiller"
	FaultVersion  Fault = "WrongVersion"
	FaultFollower Fault = "NoEventBehind"
)

type (
	// Fault tells why bytes of an upstream are not passed on.
	Fault string

	// Error reports bytes of an upstream that cannot be the next event of a stream.
	Error struct {
		Fault Fault
		cause error
		// Quoted holds the first of the bytes.
		Quoted []byte
	}
)

// Error describes the violation.
func (e Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause, which is a ProtocolError.
func (e Error) Unwrap() error { return e.cause }

// NewError returns an Error that quotes the first of the bytes.
func NewError(fault Fault, detail string, content []byte) error {
	return Quote(fault, figbank.ProtocolError{Detail: detail}, content)
}

// Quote returns an Error for the cause.
func Quote(fault Fault, cause error, content []byte) error {
	return Error{Fault: fault, cause: cause, Quoted: slices.Clone(content[:min(len(content), MaxQuoted)])}
}
