package replica

import (
	"time"

	"figbank/raft"
)

const (
	// handOverTime bounds how long a replica that stops waits until another one leads.
	handOverTime = 500 * time.Millisecond
	// handOverPollInterval is the time between two looks at who leads.
	handOverPollInterval = 5 * time.Millisecond
)

// HandOver makes another replica lead the log, if this one does, and returns once it leads no more, or after handOverTime.
func (s *Supervisor) HandOver() {
	r := s.current.Load()
	if r == nil || r.Status().GetRole() != raft.Leader.String() {
		return
	}
	select {
	case r.inbox <- input{handOver: true}:
	case <-r.stopped:
		return
	case <-s.common.Clock.After(handOverTime):
		// It stands still, and leads no longer than the others hear from it.
		return
	}
	for began := s.common.Clock.Now(); s.IsLeader() && s.common.Clock.Now().Sub(began) < handOverTime; {
		<-s.common.Clock.After(handOverPollInterval)
	}
}
