package registry

import (
	"testing"
	"time"

	"figbank/schema"
)

const (
	lease = 4 * time.Second

	ready   = schema.InstanceState_INSTANCE_STATE_READY
	leaving = schema.InstanceState_INSTANCE_STATE_LEAVING
	gone    = schema.InstanceState_INSTANCE_STATE_GONE
	silent  = schema.InstanceState_INSTANCE_STATE_SILENT
)

var start = time.Unix(1000, 0)

func instance(born int64, sequence uint64, state schema.InstanceState) *schema.Instance {
	return &schema.Instance{Id: "i", Service: "s", Address: "10.0.0.1:1", BornUnixMilli: born, Sequence: sequence, State: state}
}

func TestStateAfterAnnouncements(t *testing.T) {
	scenarios := []struct {
		name  string
		apply func(*Registry)
		want  schema.InstanceState
		born  int64
	}{
		{
			name: "the newest sequence wins in any order",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 5, leaving))
				r.Announce(start, instance(1, 4, ready))
			},
			want: leaving, born: 1,
		},
		{
			name: "a leaving incarnation does not become ready again",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 5, leaving))
				r.Announce(start, instance(1, 6, ready))
			},
			want: leaving, born: 1,
		},
		{
			name: "an announcement after Leave does not make the incarnation ready again",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 5, ready))
				r.Leave(start, instance(1, 0, ready))
				r.Announce(start, instance(1, 6, ready))
			},
			want: gone, born: 1,
		},
		{
			name: "a new incarnation under the same id replaces the one that left",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 5, ready))
				r.Leave(start, instance(1, 0, ready))
				r.Announce(start, instance(2, 1, ready))
			},
			want: ready, born: 2,
		},
		{
			name: "a late announcement of an ended incarnation changes nothing",
			apply: func(r *Registry) {
				r.Announce(start, instance(2, 1, ready))
				r.Announce(start, instance(1, 99, leaving))
			},
			want: ready, born: 2,
		},
		{
			name: "an expired lease makes the instance silent",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 1, ready))
				r.Expire(start.Add(lease + 1))
			},
			want: silent, born: 1,
		},
		{
			name: "the next announcement makes a silent instance ready",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 1, ready))
				r.Expire(start.Add(lease + 1))
				r.Announce(start.Add(lease+2), instance(1, 2, ready))
			},
			want: ready, born: 1,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := New(lease)
			s.apply(r)
			got := r.Upstreams(AnyService)
			if len(got) != 1 {
				t.Fatalf("Upstreams() has %d entries, want 1", len(got))
			}
			if got[0].Record.GetState() != s.want || got[0].Record.GetBornUnixMilli() != s.born {
				t.Errorf("Upstreams()[0] = %v born %d, want %v born %d",
					got[0].Record.GetState(), got[0].Record.GetBornUnixMilli(), s.want, s.born)
			}
		})
	}
}

func TestAddressBelongsToNewestIncarnation(t *testing.T) {
	r := New(lease)
	r.Announce(start, &schema.Instance{Id: "old", Address: "a:1", Service: "x", BornUnixMilli: 1, State: ready})
	r.Announce(start, &schema.Instance{Id: "new", Address: "a:1", Service: "y", BornUnixMilli: 2, State: ready})
	got := r.Upstreams(AnyService)
	if len(got) != 1 || got[0].Record.GetId() != "new" {
		t.Errorf("Upstreams() = %v, want only the newer incarnation", got)
	}
}

func TestEngineStateOfAnotherIncarnationIsIgnored(t *testing.T) {
	r := New(lease)
	r.Announce(start, instance(2, 1, ready))
	r.MergeEngine(start, &schema.EngineState{Address: "10.0.0.1:1", BornUnixMilli: 1, Loaded: &schema.LoadedWeights{Model: "m", Version: 1}})
	if got := r.Upstreams(AnyService)[0].Loaded.GetVersion(); got != 0 {
		t.Errorf("version = %d, want 0: the report is about an incarnation that has ended", got)
	}
}

// An agent tells that its engine leaves. What it told of an earlier incarnation changes nothing for a later one.
func TestLeavingToldByAgent(t *testing.T) {
	steps := []struct {
		name  string
		state *schema.EngineState
		want  bool
	}{
		{name: "an earlier incarnation leaves", state: &schema.EngineState{BornUnixMilli: 1, Sequence: 9, Leaving: true}},
		{name: "serves", state: &schema.EngineState{BornUnixMilli: 2, Sequence: 10}},
		{name: "leaves", state: &schema.EngineState{BornUnixMilli: 2, Sequence: 11, Leaving: true}, want: true},
		{name: "an older report comes late", state: &schema.EngineState{BornUnixMilli: 2, Sequence: 10}, want: true},
		{name: "a later incarnation reports first", state: &schema.EngineState{BornUnixMilli: 3, Sequence: 12}},
	}
	r := New(lease)
	r.Announce(start, instance(2, 1, ready))
	for _, step := range steps {
		step.state.Address = "10.0.0.1:1"
		before := r.Upstreams(AnyService)[0].Leaving
		changed := r.MergeEngine(start, step.state)
		got := r.Upstreams(AnyService)[0].Leaving
		if got != step.want {
			t.Errorf("%s: leaving = %v, want %v", step.name, got, step.want)
		}
		if got != before && !changed {
			t.Errorf("%s: routing is not told", step.name)
		}
	}
}

func TestSinceIncludesRepeatedAnnouncementsOnRequest(t *testing.T) {
	r := New(lease)
	r.Announce(start, instance(1, 1, ready))
	cursor := r.Revision()
	r.Announce(start, instance(1, 2, ready))
	if got := len(r.Since(cursor, false).Instances); got != 0 {
		t.Errorf("changes that affect routing = %d, want 0", got)
	}
	if got := len(r.Since(cursor, true).Instances); got != 1 {
		t.Errorf("changes including repeated announcements = %d, want 1", got)
	}
}

// A DELETE that a partition held up ends the next incarnation under the same id, which serves on. Its reports
// go on too, and must bring it back; a report or two that the network delivers late must not bring back one
// that has left.
func TestIncarnationThatServesOnIsRenewed(t *testing.T) {
	type report struct {
		after    time.Duration
		sequence uint64
	}
	const beat = 1200 * time.Millisecond
	scenarios := []struct {
		name    string
		reports []report
		want    schema.InstanceState
	}{
		{name: "reports go on", reports: []report{{beat, 6}, {2 * beat, 7}, {3 * beat, 8}}, want: ready},
		{name: "two late reports", reports: []report{{beat, 6}, {2 * beat, 7}}, want: gone},
		{name: "many reports that were held up arrive together", reports: []report{{beat, 6}, {beat, 7}, {beat, 8}, {beat, 9}}, want: gone},
		{name: "one report arrives again and again", reports: []report{{beat, 6}, {2 * beat, 6}, {3 * beat, 6}, {4 * beat, 6}}, want: gone},
		{name: "reports from before the leave", reports: []report{{beat, 3}, {2 * beat, 4}, {3 * beat, 5}}, want: gone},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := New(lease)
			r.Report(start, instance(2, 5, ready))
			left := start.Add(time.Second)
			r.Leave(left, instance(2, 0, ready))
			leave := r.Instance("i", "s")
			for _, report := range s.reports {
				r.Report(left.Add(report.after), instance(2, report.sequence, ready))
			}
			if got := r.Instance("i", "s").GetState(); got != s.want {
				t.Fatalf("state = %v, want %v", got, s.want)
			}
			if s.want != ready {
				return
			}
			// Another process learns of both in any order, and a second leave counts again.
			other := New(lease)
			other.Announce(left, r.Instance("i", "s"))
			other.Announce(left, leave)
			if got := other.Instance("i", "s").GetState(); got != ready {
				t.Errorf("state at another process after the late leave = %v, want it ready", got)
			}
			r.Report(left.Add(5*beat), instance(2, 9, leaving))
			if got := r.Instance("i", "s").GetState(); got != leaving {
				t.Errorf("state after it says that it drains = %v, want %v", got, leaving)
			}
		})
	}
}
