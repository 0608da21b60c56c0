package figbank

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Common is what every part of a process is built with.
type Common struct {
	// Process is this process's own id.
	Process ProcessID
	// Log carries no prefix yet; see For.
	Log *zap.Logger
	// Clock tells time.
	Clock Clock
	// Recorder keeps events for the time line.
	Recorder Recorder
	// Scope collects metrics.
	Scope tally.Scope
}

// For returns a copy whose log lines and metrics carry a part's fixed prefix.
func (c Common) For(part string) Common {
	c.Log = c.Log.Named(part)
	c.Scope = c.Scope.SubScope(part)
	return c
}

// ErrorField is the log field of a failure: its message, without the stack that
// the failure also carries.
func ErrorField(err error) zap.Field {
	return zap.String("error", err.Error())
}
