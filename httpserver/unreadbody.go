package httpserver

import (
	"net/http"
	"time"

	"figbank"
)

// unreadBodyTime is how long an answer waits for the rest of a body that does not matter for it.
const unreadBodyTime = 250 * time.Millisecond

// LimitUnreadBodies returns a handler whose answers do not wait for bodies that next has not read.
func LimitUnreadBodies(clock figbank.Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		LimitUnreadBody(clock, w, r)
	})
}

// LimitUnreadBody must be called before an answer that is given without the whole body of the request. net/http reads the
// rest, up to 256 KiB, before it writes an answer, and waits for it without a bound: a caller that sends slowly would get
// its answer late, and one that sends nothing more would get none. If the rest does not arrive in time, the connection ends
// with the answer.
func LimitUnreadBody(clock figbank.Clock, w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// A test's recorder has no read deadline. Its body does not block.
	_ = http.NewResponseController(w).SetReadDeadline(clock.Now().Add(unreadBodyTime))
}
