package replica

import (
	"fmt"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
)

const (
	// maxNotedAttempts is how many attempts of one proposal are logged, the last ones.
	maxNotedAttempts = 8
	// failureLogInterval is the shortest time between two log lines on proposals that failed.
	failureLogInterval = time.Second
)

type (
	// attempts notes how the attempts of one proposal ended.
	attempts struct {
		began time.Time
		count int
		notes []string
	}

	// failureLog limits how often failed proposals are logged. It is safe for concurrent use.
	failureLog struct {
		last atomic.Int64
	}
)

// note records the outcome of one attempt at a replica.
func (a *attempts) note(replica Endpoint, took time.Duration, answer *schema.ProposeAnswer, err error) {
	outcome := "answered"
	switch {
	case err != nil:
		outcome = err.Error()
	case answer.GetUnknown():
		outcome = "outcome unknown, leader " + answer.GetLeader()
	case answer.GetNotLeader():
		outcome = "does not lead, leader " + answer.GetLeader()
	}
	a.count++
	a.notes = append(a.notes, fmt.Sprintf("%s after %dms: %s", replica.Address, took.Milliseconds(), outcome))
	if len(a.notes) > maxNotedAttempts {
		a.notes = a.notes[1:]
	}
}

// write logs the attempts of a proposal that failed, unless another such line was logged less than
// failureLogInterval ago.
func (f *failureLog) write(common figbank.Common, a *attempts, leader figbank.ProcessID) {
	now := common.Clock.Now()
	last := f.last.Load()
	if now.UnixNano()-last < int64(failureLogInterval) || !f.last.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	common.Log.Warn("proposal failed", zap.Duration("after", now.Sub(a.began)), zap.String("presumedLeader", string(leader)),
		zap.Int("attempts", a.count), zap.Strings("last", a.notes))
}
