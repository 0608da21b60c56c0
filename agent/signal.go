package agent

import "sync"

// signal wakes all goroutines that wait for it.
type signal struct {
	mu     sync.Mutex
	raised chan struct{}
}

func newSignal() *signal {
	return &signal{raised: make(chan struct{})}
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.raised)
	s.raised = make(chan struct{})
}

// wait returns a channel that is closed at the next raise.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raised
}
