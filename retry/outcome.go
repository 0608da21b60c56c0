package retry

import (
	"errors"

	"figbank"
)

// Outcome collects what all attempts of one request have proved about whether it ran. The
// error of the last attempt alone does not show that: an earlier attempt may have run the
// request. The zero value is the outcome of a request without attempts.
type Outcome struct {
	mayHaveRun int
	// unproved is the error of the last failed attempt that may have run the request.
	unproved error
}

// Record adds an attempt that has ended with err, nil for a complete answer.
func (o *Outcome) Record(err error) {
	if errors.As(err, new(figbank.NotRunError)) {
		return
	}
	o.mayHaveRun++
	if err != nil {
		o.unproved = err
	}
}

// MayHaveRun returns how many attempts may have run the request.
func (o *Outcome) MayHaveRun() int {
	return o.mayHaveRun
}

// Error returns the error to report when the request goes no further because of reason. It
// is a NotRunError only if no attempt may have run the request.
func (o *Outcome) Error(reason error) error {
	if o.unproved != nil && errors.As(reason, new(figbank.NotRunError)) {
		return o.unproved
	}
	return reason
}
