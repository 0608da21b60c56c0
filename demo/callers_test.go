package demo

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"figbank/clock"
	"figbank/deployment"
	"figbank/fake"
)

// newTestCallers returns callers of a fake gateway. The gateway answers each call with the result
// of act. The arguments of act are the number of the call, from 1, and the id of the booking.
func newTestCallers(t *testing.T, runCounter *fake.RunCounter, act func(call int, id string) (status int, outcome, reason string)) *callers {
	t.Helper()
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var booking struct{ ID string }
		content, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(content, &booking)
		calls++
		status, outcome, reason := act(calls, booking.ID)
		w.Header().Set("Figbank-Outcome", outcome)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]string{"id": booking.ID, "Reason": reason})
	}))
	t.Cleanup(server.Close)
	b := &balancer{ready: []string{strings.TrimPrefix(server.URL, "http://")}}
	return newCallers(deployment.ByName("tabwright"), b, clock.System{}, runCounter, nil)
}

// TestRefusalsOfBookings checks how callers count refusals of bookings under a key.
func TestRefusalsOfBookings(t *testing.T) {
	const refused, conflict = http.StatusServiceUnavailable, http.StatusConflict
	scenarios := []struct {
		name            string
		act             func(runCounter *fake.RunCounter, call int, id string) (status int, outcome, reason string)
		wantFalseNotRun int
		wantUnknown     int
		wantAnswered    int
	}{
		{
			name: "refused as not run but ran",
			act: func(runCounter *fake.RunCounter, call int, id string) (status int, outcome, reason string) {
				if call == 1 {
					runCounter.Add(id)
					return refused, "NotRun", "NoUpstream"
				}
				return http.StatusOK, "Ran", ""
			},
			wantFalseNotRun: 1, wantAnswered: 1,
		},
		{
			name: "refused as not run and did not run",
			act: func(runCounter *fake.RunCounter, call int, id string) (status int, outcome, reason string) {
				if call == 1 {
					return refused, "NotRun", "LogUnavailable"
				}
				runCounter.Add(id)
				return http.StatusOK, "Ran", ""
			},
			wantAnswered: 1,
		},
		{
			name: "earlier request under the key still runs",
			act: func(runCounter *fake.RunCounter, call int, id string) (status int, outcome, reason string) {
				if call == 1 {
					return conflict, "Unknown", "StillRunning"
				}
				runCounter.Add(id)
				return http.StatusOK, "Ran", ""
			},
			wantAnswered: 1,
		},
		{
			name: "outcome of the earlier request is unknown",
			act: func(*fake.RunCounter, int, string) (status int, outcome, reason string) {
				return conflict, "Unknown", "EarlierOutcomeUnknown"
			},
			wantUnknown: 1,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			runCounter := fake.NewRunCounter()
			c := newTestCallers(t, runCounter, func(call int, id string) (status int, outcome, reason string) { return s.act(runCounter, call, id) })
			_, _ = c.sendUntilAnswered("/services/s/bookings", "k", []byte(`{"id":"k"}`))
			o := c.outcomes
			if o.FalseNotRun != s.wantFalseNotRun || o.Unknown != s.wantUnknown || len(o.Latencies) != s.wantAnswered {
				t.Errorf("false \"not run\", unknown, answered = %d, %d, %d, want %d, %d, %d",
					o.FalseNotRun, o.Unknown, len(o.Latencies), s.wantFalseNotRun, s.wantUnknown, s.wantAnswered)
			}
		})
	}
}

// TestRefusedReplayIsNoFalseNotRun sends a booking again after it was answered. The gateway refuses
// the second request as not run. This refusal is correct, since only the first request has run.
func TestRefusedReplayIsNoFalseNotRun(t *testing.T) {
	runCounter := fake.NewRunCounter()
	c := newTestCallers(t, runCounter, func(call int, id string) (status int, outcome, reason string) {
		switch call {
		case 1:
			runCounter.Add(id)
		case 2:
			return http.StatusServiceUnavailable, "NotRun", "LogUnavailable"
		}
		return http.StatusOK, "Ran", ""
	})
	body := []byte(`{"id":"k"}`)
	first, _ := c.sendUntilAnswered("/services/s/bookings", "k", body)
	c.replay("/services/s/bookings", "k", body, first)
	if o := c.outcomes; o.FalseNotRun != 0 || o.Replayed != 1 {
		t.Errorf("false \"not run\", replayed = %d, %d, want 0, 1", o.FalseNotRun, o.Replayed)
	}
}
