package figbank

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Common holds the dependencies that every part of a process receives.
type Common struct {
	// Process is the id of this process.
	Process ProcessID
	// Log is the logger. It has no name until Named adds one.
	Log *zap.Logger
	// Clock tells time.
	Clock Clock
	// Recorder stores events for the timeline.
	Recorder Recorder
	// Scope collects metrics.
	Scope tally.Scope
}

// Named returns a copy of c whose log lines and metrics carry the name of part, a part of the
// process.
func (c Common) Named(part string) Common {
	c.Log = c.Log.Named(part)
	c.Scope = c.Scope.SubScope(part)
	return c
}

// ErrorField returns the log field for an error. It contains the message only, without
// the stack trace that errors from WrapError carry.
func ErrorField(err error) zap.Field {
	return zap.String("error", err.Error())
}
