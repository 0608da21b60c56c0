package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"figbank"
	"figbank/answers"
	"figbank/load"
	"figbank/schema"
	"figbank/traffic"
)

// oddFieldTransport simulates upstreams in trouble: the heads of all answers have a line that is none.
type oddFieldTransport struct{ sent int }

func (o *oddFieldTransport) Send(context.Context, *Request, Attempt) (*Answer, error) {
	o.sent++
	return nil, errors.Join(figbank.UnknownOutcomeError{Detail: "bytes of the upstream are no answer"}, answers.FieldNameError{Start: "Odd "})
}

// Several upstreams, one after the other, send heads that are none to the same request. They have not crashed: the request must
// not be refused later for crashing upstreams, and the caller must not be told that it has not run.
func TestRequestIsNotToBlameForOddFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &oddFieldTransport{}
		d := newTestDispatcher(transport)
		const rounds = 8
		for round := range rounds {
			d.table.Store(&Table{services: map[figbank.ServiceName][]*Target{"s": {
				{ID: figbank.UpstreamID(fmt.Sprint(round)), BornUnixMilli: int64(round), Slots: 8, Load: &load.Upstream{}},
			}}})
			err := d.Serve(context.Background(), &Request{
				ID: "r", Service: "s", Method: http.MethodPost, Target: "/x", Body: []byte("the same"), ReceivedAt: time.Now(), Deadline: time.Now().Add(10 * time.Second),
				Route: &traffic.Route{Route: &schema.Route{Kind: schema.CallKind_CALL_KIND_UNSAFE, MaxUpstreams: 2}, LatencyTarget: time.Second},
			}, &responseRecorder{})
			if !errors.As(err, new(figbank.UnknownOutcomeError)) || errors.As(err, new(figbank.NotRunError)) {
				t.Errorf("Serve() in round %d = %v, want an unknown outcome", round, err)
			}
			time.Sleep(time.Second)
		}
		if transport.sent != rounds {
			t.Errorf("%d requests were sent, want all %d", transport.sent, rounds)
		}
	})
}
