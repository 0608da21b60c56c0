package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/crashers"
	"figbank/retry"
	"figbank/schema"
	"figbank/traffic"
)

type (
	// slowTransport has an upstream "old" whose answer begins after a delay, and
	// others that answer at once.
	slowTransport struct {
		delay time.Duration
		// broken is when the request to the old upstream was broken off, 0 for never.
		broken time.Duration
		began  time.Time
	}

	// wholeReply keeps what the caller gets.
	wholeReply struct {
		status int
		body   strings.Builder
	}
)

func (s *slowTransport) Send(ctx context.Context, _ *Request, hop Hop) (*Answer, error) {
	if hop.Upstream == "old" {
		select {
		case <-ctx.Done():
			s.broken = time.Since(s.began)
			return nil, figbank.UnknownOutcomeError{Detail: "broken off"}
		case <-time.After(s.delay):
		}
	}
	return &Answer{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader(string(hop.Upstream)))}, nil
}

func (r *wholeReply) Head(status int, _ http.Header, _ int64) { r.status = status }
func (r *wholeReply) Started() bool                           { return r.status != 0 }
func (r *wholeReply) Write(piece []byte) error {
	r.body.Write(piece)
	return nil
}

// dispatcherOver is a dispatcher whose table the test sets.
func dispatcherOver(transport Transport) *Dispatcher {
	return &Dispatcher{
		common:    figbank.Common{Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope},
		transport: transport, budgets: retry.NewBudgets(retry.Allowance{Percent: 20, Slack: 100}), crashers: crashers.NewSet(),
	}
}

// Requests wait at an upstream whose weights grow too old under them: one that
// has not begun by then is taken back and goes elsewhere, one that has begun ends
// where it is.
func TestWaitingRequestIsTakenBackAtTheBound(t *testing.T) {
	const bound = 2 * time.Second
	tests := []struct {
		name   string
		delay  time.Duration
		want   string
		broken time.Duration
	}{
		{"begins in time", bound, "old", 0},
		{"would begin too late", time.Minute, "new", bound + firstMargin},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &slowTransport{delay: test.delay, began: time.Now()}
				d := dispatcherOver(transport)
				busy := &Load{}
				for range 16 {
					busy.begin()
				}
				d.table.Store(&Table{services: map[figbank.ServiceName][]*Target{"s": {
					{ID: "old", Near: true, Slots: 8, Load: &Load{}, OldAfter: time.Now().Add(bound), OldAfterWall: time.Now().Add(bound)},
					{ID: "new", Slots: 8, Load: busy},
				}}})
				request := &Request{
					ID: "r", Route: &traffic.Route{Route: &schema.Route{Kind: schema.CallKind_CALL_KIND_SAFE, MaxUpstreams: 2}, Target: 5 * time.Second}, Service: "s",
					ReceivedAt: time.Now(), Deadline: time.Now().Add(10 * time.Second),
				}
				reply := &wholeReply{}
				if err := d.Serve(context.Background(), request, reply); err != nil {
					t.Fatalf("Serve() = %v, want none", err)
				}
				if got := reply.body.String(); got != test.want {
					t.Errorf("answered by: got %q, want %q", got, test.want)
				}
				if got := transport.broken; got != test.broken {
					t.Errorf("taken back after: got %v, want %v", got, test.broken)
				}
			})
		})
	}
}
