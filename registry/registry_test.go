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
				r.Leave(start, "i", 1)
				r.Announce(start, instance(1, 6, ready))
			},
			want: gone, born: 1,
		},
		{
			name: "a new incarnation under the same id replaces the one that left",
			apply: func(r *Registry) {
				r.Announce(start, instance(1, 5, ready))
				r.Leave(start, "i", 1)
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
			got := r.Upstreams()
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
	got := r.Upstreams()
	if len(got) != 1 || got[0].Record.GetId() != "new" {
		t.Errorf("Upstreams() = %v, want only the newer incarnation", got)
	}
}

func TestEngineStateOfAnotherIncarnationIsIgnored(t *testing.T) {
	r := New(lease)
	r.Announce(start, instance(2, 1, ready))
	r.MergeEngine(start, &schema.EngineState{Address: "10.0.0.1:1", BornUnixMilli: 1, Loaded: &schema.LoadedWeights{Model: "m", Version: 1}})
	if got := r.Upstreams()[0].Loaded.GetVersion(); got != 0 {
		t.Errorf("version = %d, want 0: the report is about an incarnation that has ended", got)
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
