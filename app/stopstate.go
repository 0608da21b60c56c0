package app

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// stopState is the state of a gateway's graceful shutdown. It is safe for concurrent use.
type stopState struct {
	begun atomic.Bool
	// end is canceled when the requests that still run must end.
	end       context.Context //nolint:containedctx // it outlives every request
	cancelEnd context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.end, s.cancelEnd = context.WithCancel(context.Background())
	return s
}

// endAfter ends all requests that still run at the time due, or when ctx, the shutdown, ends before.
func (s *stopState) endAfter(ctx context.Context, due <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-due:
	}
	s.cancelEnd()
}

// handler returns a handler that, during the shutdown, tells callers to close their connections, so that
// they connect to another gateway. Requests that still run at the end are canceled, so that each is answered
// with what is known of it: that it has not run, or that it may have.
func (s *stopState) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.begun.Load() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(s.end, cancel)()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
