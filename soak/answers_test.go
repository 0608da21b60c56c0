package soak

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

func TestCheckServedShareComparesWithLaterRequests(t *testing.T) {
	const count = 100
	start := time.Unix(100, 0)
	scenarios := []struct {
		name               string
		during, calm       int
		servedThen, served int
		want               string
	}{
		{name: "all served", during: count, servedThen: count, calm: count, served: count},
		{name: "half served", during: count, servedThen: count / 2, calm: count, served: count},
		{name: "fewer than half served", during: count, servedThen: count/2 - 1, calm: count, served: count, want: "Served"},
		{name: "as few as later", during: count, servedThen: 10, calm: count, served: 10},
		{name: "none sent during the faults", calm: count, served: count, want: "Soak"},
		{name: "none sent later", during: count, servedThen: count, want: "Soak"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := &run{
				Options: Options{Output: &bytes.Buffer{}}, record: newRecord(), faultsBegan: start, faultsEnded: start.Add(time.Second),
				calmBegan: start.Add(2 * time.Second), restartsBegan: start.Add(3 * time.Second),
			}
			r.callers = newCallers(nil, r.record)
			add := func(at time.Time, sent, served int) {
				for i := range sent {
					r.callers.sent[fmt.Sprint(at, i)] = &sentRequest{at: at, served: i < served}
				}
			}
			add(start.Add(time.Millisecond), s.during, s.servedThen)
			add(start.Add(1500*time.Millisecond), count, 0)
			add(start.Add(2500*time.Millisecond), s.calm, s.served)
			r.checkServedShare("all", 0.5, func(*sentRequest) bool { return true })
			got := ""
			if len(r.record.violations) > 0 {
				got = r.record.violations[0].Promise
			}
			if got != s.want {
				t.Errorf("first violation = %q, want %q", got, s.want)
			}
		})
	}
}
