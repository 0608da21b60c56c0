package metering

import (
	"testing"
	"time"

	"figbank"
	"figbank/schema"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

func (w *testWorld) reportsOf(window Window) []report {
	var found []report
	for _, r := range w.receiver.reports {
		if Window(r.usage.GetWindow()) == window {
			found = append(found, r)
		}
	}
	return found
}

// The holder of the duty ends after it has fixed a window and before it has reported it, or after the receiver has
// accepted the report. Its successor knows less of what gateways had counted, and must report the same counts.
func TestSuccessorRepeatsExactly(t *testing.T) {
	scenarios := []struct {
		name string
		// down is set if the receiver does not answer the first holder.
		down bool
		want int
	}{
		{name: "ended before the report", down: true, want: 1},
		{name: "ended after the report", want: 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := newTestWorld()
			first := w.newProcess(t, "first", 0)
			window := first.reporter.wall.Window()
			first.count(40)
			if s.down {
				w.receiver.err = figbank.UnknownOutcomeError{Detail: "down"}
			}
			w.run(testLength+time.Second, first)
			token, _ := first.Token(0)

			w.receiver.err = nil
			second := w.newProcess(t, "second", token)
			w.run(time.Second, second)
			reports := w.reportsOf(window)
			if len(reports) != s.want {
				t.Fatalf("%d reports of the window, want %d", len(reports), s.want)
			}
			last := reports[len(reports)-1]
			if got := requestsOf(last.usage); got != 40 || !proto.Equal(reports[0].usage, last.usage) {
				t.Errorf("the successor reports %d requests, want the 40 that were fixed", got)
			}
			if last.token <= token {
				t.Errorf("the successor's token is %d, want more than %d", last.token, token)
			}
		})
	}
}

// Who has lost the duty without noticing must not fix what another one reports.
func TestFormerHolderFixesNothing(t *testing.T) {
	w := newTestWorld()
	former := w.newProcess(t, "former", 0)
	token, _ := former.Token(0)
	w.newProcess(t, "current", token)
	former.count(1)
	w.run(testLength+2*time.Second, former)
	if len(w.receiver.reports) != 0 {
		t.Errorf("the former holder has sent %d reports, want none", len(w.receiver.reports))
	}
}

// The receiver is down for the time of two windows, or refuses all calls. Their reports come late, but in time.
func TestReportsOutliveAnOutageOfTheReceiver(t *testing.T) {
	scenarios := []struct {
		name         string
		err          error
		wantAbstains bool
	}{
		{name: "down", err: figbank.UnknownOutcomeError{Detail: "down"}, wantAbstains: true},
		{name: "busy", err: figbank.FailedAnswerError{Status: 429}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := newTestWorld()
			p := w.newProcess(t, "p", 0)
			first := p.reporter.wall.Window()
			w.receiver.err = s.err
			for range 2 {
				p.count(7)
				w.run(testLength, p)
			}
			w.run(2*time.Second, p)
			w.receiver.err = nil
			w.run(2*time.Second, p)
			for window := first; window < first+2; window++ {
				reports := w.reportsOf(window)
				if len(reports) != 1 || requestsOf(reports[0].usage) != 7 {
					t.Errorf("window %d was reported as %v, want once with 7 requests", window-first, reports)
				}
			}
			if got := p.abstains > 0; got != s.wantAbstains {
				t.Errorf("the duty was given up: %v, want %v", got, s.wantAbstains)
			}
		})
	}
}

// Nobody held the duty while a window became overdue. Who takes it does not know whether the window was reported, and says so.
func TestWindowOverdueBeforeTheDutyIsTaken(t *testing.T) {
	w := newTestWorld()
	w.clock.boot = 4 * testLength
	p := w.newProcess(t, "p", 0)
	scope := tally.NewTestScope("", nil)
	p.reporter.reports = func(outcome string) tally.Counter { return scope.Counter(outcome) }
	w.run(time.Second, p)
	counters := scope.Snapshot().Counters()
	if got := counters["unknown+"]; got == nil || got.Value() != 1 {
		t.Errorf("counters = %v, want one unknown window", counters)
	}
	if got := counters["missed+"]; got != nil {
		t.Errorf("%d windows are counted as missed, want none", got.Value())
	}
}

// A report that is overdue is not sent any more.
func TestOverdueWindowIsMissed(t *testing.T) {
	w := newTestWorld()
	p := w.newProcess(t, "p", 0)
	window := p.reporter.wall.Window()
	p.count(7)
	w.receiver.err = figbank.UnknownOutcomeError{Detail: "down"}
	w.run(testLength+testDue, p)
	w.receiver.err = nil
	w.run(testLength, p)
	if got := len(w.reportsOf(window)); got != 0 {
		t.Errorf("an overdue window was reported %d times, want never", got)
	}
}

func TestNextStep(t *testing.T) {
	fixed := &schema.WindowUsage{}
	scenarios := []struct {
		name     string
		progress Progress
		sinceEnd time.Duration
		missing  int
		want     Step
	}{
		{name: "not ended", sinceEnd: -time.Second, want: Wait},
		{name: "just ended", sinceEnd: settleTime / 2, want: Wait},
		{name: "settled", sinceEnd: settleTime, want: Fix},
		{name: "a gateway has not answered", sinceEnd: time.Second, missing: 1, want: Wait},
		{name: "a gateway does not answer", sinceEnd: patience, missing: 1, want: Fix},
		{name: "fixed", progress: Progress{Fixed: fixed}, sinceEnd: time.Second, want: Send},
		{name: "failed just now", progress: Progress{Fixed: fixed, NotBefore: 2 * time.Minute}, sinceEnd: time.Second, want: Wait},
		{name: "reported", progress: Progress{Fixed: fixed, Reported: true}, sinceEnd: time.Second, want: Done},
		{name: "overdue", progress: Progress{Fixed: fixed}, sinceEnd: testDue, want: Miss},
		{name: "missed", progress: Progress{Missed: true}, sinceEnd: testDue, want: Done},
	}
	for _, s := range scenarios {
		if got := s.progress.Next(time.Minute, s.sinceEnd, testDue, s.missing); got != s.want {
			t.Errorf("%s: Next() = %v, want %v", s.name, got, s.want)
		}
	}
}

// A gateway is killed and starts again within a window, another one is lost for good, and an old answer comes late.
func TestSumOverRunsOfGateways(t *testing.T) {
	answer := func(start, window, requests int64) *schema.UsageAnswer {
		return &schema.UsageAnswer{StartUnixNano: start, Windows: []*schema.WindowUsage{
			{Window: window, Workspaces: []*schema.WorkspaceUsage{{Workspace: "w", Requests: requests}}},
		}}
	}
	c := NewCollector()
	c.Add("a", 2, answer(1, 9, 5))
	c.Add("a", 1, answer(1, 9, 3))
	c.Add("a", 3, answer(2, 9, 10))
	c.Add("lost", 1, answer(1, 9, 100))
	if got := requestsOf(c.Sum(9)); got != 115 {
		t.Errorf("Sum() = %d, want 115", got)
	}
	if got := c.Missing([]figbank.ProcessID{"a", "new"}, 3); got != 1 {
		t.Errorf("Missing() = %d, want 1", got)
	}
	c.Forget(10)
	if got := requestsOf(c.Sum(9)); got != 0 {
		t.Errorf("Sum() = %d after Forget, want 0", got)
	}
}

// The time of day of a host jumps and jumps back, and the host is suspended. Requests count in the window of true time.
func TestStepsOfTheClockMoveNoCounts(t *testing.T) {
	clock := &manualClock{}
	w := newTestWorld()
	p := w.newProcess(t, "p", 0)
	wall := NewWallTime(clock, clock, testLength)
	counter := NewCounter(p.reporter.common, wall, testDue)
	for second := range 40 {
		switch second {
		case 12:
			clock.step = 30 * time.Second
		case 22:
			clock.step = -30 * time.Second
		case 30:
			clock.step = 0
		}
		counter.Begin("w")
		clock.boot += time.Second
	}
	answer := counter.Answer(0)
	for _, usage := range answer.GetWindows() {
		if got := requestsOf(usage); got != 5 {
			t.Errorf("window %d has %d requests, want 5", usage.GetWindow(), got)
		}
	}
	if got, want := len(answer.GetWindows()), counter.keep; got > want {
		t.Errorf("%d windows are kept, want at most %d", got, want)
	}
}

// Nothing is asked or sent without the duty.
func TestNothingIsSentWithoutTheDuty(t *testing.T) {
	w := newTestWorld()
	p := w.newProcess(t, "p", 0)
	p.holder.Abstain(time.Hour)
	w.run(2*testLength, p)
	if got := len(w.receiver.reports); got != 0 {
		t.Errorf("%d reports, want none", got)
	}
}
