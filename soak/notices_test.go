package soak

import (
	"testing"
	"time"

	"figbank/platform/standin"
)

func TestNoticeCheck(t *testing.T) {
	start := time.Unix(100, 0)
	at := start.Add
	const until = 4 * time.Second
	leaving := standin.Notice{ID: "first", At: at(0), Leaving: true}
	refusal := standin.Notice{ID: "first", At: at(0), Until: at(until)}
	scenarios := []struct {
		name   string
		notice standin.Notice
		// gateway sends three requests after the given time.
		gateway            string
		after              time.Duration
		disturbed          bool
		afterLeaving, most int
	}{
		{name: "leaving, within the drain time", notice: leaving, gateway: "a", after: time.Second},
		{name: "leaving, later", notice: leaving, gateway: "a", after: 3 * time.Second, afterLeaving: 3},
		{name: "leaving, another gateway has not heard of it", notice: leaving, gateway: "b", after: 3 * time.Second},
		{name: "leaving, the gateway was restarted", notice: leaving, gateway: "a", after: 3 * time.Second, disturbed: true},
		{name: "refused for a time, at once", notice: refusal, gateway: "a", after: 100 * time.Millisecond},
		{name: "refused for a time, later", notice: refusal, gateway: "a", after: time.Second, most: 3},
		{name: "refused for a time, another gateway", notice: refusal, gateway: "b", after: time.Second},
		{name: "refused for a time, the time has passed", notice: refusal, gateway: "a", after: 5 * time.Second},
		{name: "refused for a time, the gateway was restarted", notice: refusal, gateway: "a", after: time.Second, disturbed: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			check := noticeCheck{
				requests:  map[string]sentBy{"first": {gateway: "a", at: at(0)}},
				disturbed: func(string, time.Time, time.Time) bool { return s.disturbed },
			}
			arrivals := []standin.Arrival{{ID: "first", At: at(0)}}
			for _, id := range []string{"x", "y", "z"} {
				check.requests[id] = sentBy{gateway: s.gateway, at: at(s.after)}
				arrivals = append(arrivals, standin.Arrival{ID: id, At: at(s.after + time.Millisecond)})
			}
			notices := []standin.Notice{s.notice}
			if got := check.countAfterLeaving(notices, arrivals); got != s.afterLeaving {
				t.Errorf("requests after it said that it leaves = %d, want %d", got, s.afterLeaving)
			}
			if got := check.countWhileRefused(notices, arrivals); got != s.most {
				t.Errorf("requests while refused = %d, want %d", got, s.most)
			}
		})
	}
}
