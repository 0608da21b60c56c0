package metering

import (
	"context"
	"testing"
	"time"

	"figbank"
	"figbank/duty"
	"figbank/fake"
	"figbank/schema"
	"figbank/timeline"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	testLength = 5 * time.Second
	testDue    = 10 * time.Second
	// testStart is a time at which a window begins.
	testStart = 1_700_000_000 * time.Second
)

type (
	// manualClock stands still until it is moved. The wall clock may be stepped.
	manualClock struct {
		boot, step time.Duration
	}

	// receiver stores the reports that arrive. err is what it answers.
	receiver struct {
		err     error
		reports []report
	}

	report struct {
		token uint64
		usage *schema.WindowUsage
	}

	testWorld struct {
		clock    *manualClock
		log      *fake.Proposer
		receiver *receiver
	}

	// testProcess is a process that may hold the duty.
	testProcess struct {
		holder   *duty.Lease
		clock    *manualClock
		reporter *Reporter
		abstains int
	}
)

func (c *manualClock) Now() time.Time           { return time.Unix(0, int64(testStart+c.boot+c.step)) }
func (c *manualClock) SinceBoot() time.Duration { return c.boot }
func (c *manualClock) After(time.Duration) <-chan time.Time {
	return nil
}

func (c *manualClock) Tick(time.Duration) (ticks <-chan time.Time, stop func()) {
	return nil, func() {}
}

func (r *receiver) Report(_ context.Context, token uint64, usage *schema.WindowUsage) error {
	if r.err != nil {
		return r.err
	}
	r.reports = append(r.reports, report{token: token, usage: proto.CloneOf(usage)})
	return nil
}

func (p *testProcess) Token(takes time.Duration) (uint64, bool) {
	return p.holder.Token(p.clock.boot, takes)
}

func (p *testProcess) Abstain(string) { p.abstains++ }

func newTestWorld() *testWorld {
	clock := &manualClock{}
	return &testWorld{clock: clock, log: fake.NewProposer(clock), receiver: &receiver{}}
}

// newProcess returns a process that has just taken the duty.
func (w *testWorld) newProcess(t *testing.T, name string, seen uint64) *testProcess {
	t.Helper()
	common := figbank.Common{Log: zap.NewNop(), Clock: w.clock, Scope: tally.NoopScope, Recorder: timeline.NewRecorder("r", w.clock, 16)}
	p := &testProcess{clock: w.clock, holder: duty.NewLease(duty.Terms{Length: time.Hour}, Subject, name, w.clock.boot)}
	p.holder.Observe(w.clock.boot, &schema.DutyRecord{Subject: Subject, Token: seen})
	p.reporter = NewReporter(common, Settings{Due: testDue, Gateways: func() []*schema.Member { return nil }}, w.clock,
		NewWallTime(w.clock, w.clock, testLength), p, w.log, w.receiver, nil)
	result, err := w.log.Propose(context.Background(), &schema.Command{Action: &schema.Command_HoldDuty{HoldDuty: p.holder.Propose(w.clock.boot)}})
	if err != nil {
		t.Fatal(err)
	}
	p.holder.Confirm(w.clock.boot, result.GetDuty())
	return p
}

// run lets time pass, in which the processes do what is due.
func (w *testWorld) run(length time.Duration, processes ...*testProcess) {
	for end := w.clock.boot + length; w.clock.boot < end; w.clock.boot += stepInterval {
		for _, p := range processes {
			p.reporter.step(context.Background())
		}
	}
}

// count adds requests of one workspace in the current window, as the only gateway tells it to a process.
func (p *testProcess) count(requests int64) {
	window := p.reporter.wall.Window()
	p.reporter.collector.Add("gateway", p.clock.boot, &schema.UsageAnswer{
		Windows: []*schema.WindowUsage{encodeWindow(window, map[figbank.Workspace]int64{"w": requests})},
	})
}
