package loadshare

import (
	"testing"
	"time"

	"figbank/schema"
)

// A crash is reported once to each gateway. When its link was slow or lost for a moment, the next
// report replaced the one with the crash, and the gateway never heard of it.
func TestCrashesSurviveReportsThatAreNotSent(t *testing.T) {
	start := time.Unix(1_000, 0)
	crash := func(fingerprint uint64) *schema.LoadReport {
		return &schema.LoadReport{Crashes: []*schema.CrashReport{{Fingerprint: fingerprint, Incarnation: 1, SentMicrosecondsAgo: 50, EndedMicrosecondsAgo: 10}}}
	}
	scenarios := []struct {
		name string
		act  func(*outbox)
		want []uint64
	}{
		{name: "replaced", act: func(o *outbox) { o.put(start, crash(1)); o.put(start.Add(time.Second), crash(2)) }, want: []uint64{1, 2}},
		{name: "sent before", act: func(o *outbox) { o.put(start, crash(1)); o.take(); o.put(start.Add(time.Second), crash(2)) }, want: []uint64{2}},
		{name: "could not be sent", act: func(o *outbox) {
			o.put(start, crash(1))
			report, at := o.take()
			o.put(start.Add(time.Second), crash(2))
			o.putBack(at, report)
		}, want: []uint64{1, 2}},
		{name: "could not be sent, none newer", act: func(o *outbox) {
			o.put(start, crash(1))
			report, at := o.take()
			o.putBack(at, report)
			o.put(start.Add(time.Second), &schema.LoadReport{})
		}, want: []uint64{1}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			o := &outbox{}
			s.act(o)
			report, at := o.take()
			if got := start.Add(time.Second); !at.Equal(got) {
				t.Errorf("made at %v, want %v", at, got)
			}
			if len(report.GetCrashes()) != len(s.want) {
				t.Fatalf("crashes = %v, want those of %v", report.GetCrashes(), s.want)
			}
			for i, want := range s.want {
				got := report.GetCrashes()[i]
				age := int64(10)
				if want == 1 {
					age += time.Second.Microseconds()
				}
				if got.GetFingerprint() != want || got.GetEndedMicrosecondsAgo() != age || got.GetSentMicrosecondsAgo() != age+40 {
					t.Errorf("crash %d = %v, want fingerprint %d, ended %d µs ago", i, got, want, age)
				}
			}
		})
	}
}

func TestKeptCrashesAreBounded(t *testing.T) {
	o := &outbox{}
	shared := &schema.LoadReport{Crashes: []*schema.CrashReport{{Fingerprint: 1}}}
	for range 2 * maxKeptCrashes {
		o.put(time.Unix(1, 0), shared)
	}
	report, _ := o.take()
	if got := len(report.GetCrashes()); got != maxKeptCrashes {
		t.Errorf("crashes = %d, want %d", got, maxKeptCrashes)
	}
	if got := len(shared.GetCrashes()); got != 1 {
		t.Errorf("crashes of a report that several outboxes hold = %d, want 1", got)
	}
}
