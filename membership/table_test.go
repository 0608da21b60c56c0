package membership

import (
	"testing"
	"time"

	"figbank/schema"
)

const lease = 3 * time.Second

var start = time.Unix(1000, 0)

func record(sequence uint64, state schema.UpstreamState) *schema.Upstream {
	return &schema.Upstream{Id: "u", AgentStartUnixNano: 1, Sequence: sequence, State: state}
}

const (
	ready = schema.UpstreamState_UPSTREAM_STATE_READY
	down  = schema.UpstreamState_UPSTREAM_STATE_DOWN
)

func TestAlive(t *testing.T) {
	scenarios := []struct {
		name  string
		setUp func(*Table)
		after time.Duration
		want  uint64
	}{
		{name: "announced to this gateway", setUp: func(t *Table) { t.Announce(start, record(1, ready)) }, want: 1},
		{name: "lease of an announcement ran out", setUp: func(t *Table) { t.Announce(start, record(1, ready)) }, after: lease + 1},
		{name: "reported by another gateway", setUp: func(t *Table) { t.Report(start, "g2", []*schema.Upstream{record(2, ready)}, true) }, want: 2},
		{
			name:  "the reporting gateway is silent",
			setUp: func(t *Table) { t.Report(start, "g2", []*schema.Upstream{record(2, ready)}, true) },
			after: lease + 1,
		},
		{
			name: "one gateway reports it down, another reports it ready",
			setUp: func(t *Table) {
				t.Report(start, "g2", []*schema.Upstream{record(2, down)}, true)
				t.Report(start, "g3", []*schema.Upstream{record(2, ready)}, true)
			},
			want: 2,
		},
		{
			name: "the newest announcement wins",
			setUp: func(t *Table) {
				t.Announce(start, record(4, ready))
				t.Report(start, "g2", []*schema.Upstream{record(3, ready)}, true)
			},
			want: 4,
		},
		{
			name: "an older announcement is ignored",
			setUp: func(t *Table) {
				t.Announce(start, record(4, ready))
				t.Announce(start, record(3, down))
			},
			want: 4,
		},
		{
			name: "a restarted agent starts a new sequence",
			setUp: func(t *Table) {
				t.Announce(start, record(9, ready))
				t.Announce(start, &schema.Upstream{Id: "u", AgentStartUnixNano: 2, Sequence: 1, State: ready})
			},
			want: 1,
		},
		{
			name: "a full report removes the upstreams it lacks",
			setUp: func(t *Table) {
				t.Report(start, "g2", []*schema.Upstream{record(2, ready)}, true)
				t.Report(start, "g2", nil, true)
			},
		},
		{
			name: "a partial report keeps the other upstreams",
			setUp: func(t *Table) {
				t.Report(start, "g2", []*schema.Upstream{record(2, ready)}, true)
				t.Report(start, "g2", nil, false)
			},
			want: 2,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			table := NewTable(lease)
			s.setUp(table)
			now := start.Add(s.after)
			table.Expire(now)
			var got uint64
			for _, alive := range table.Alive(now) {
				got = alive.GetSequence()
			}
			if got != s.want {
				t.Errorf("sequence of the alive upstream = %d, want %d (0 for none)", got, s.want)
			}
		})
	}
}

func TestOnlyMaterialChangesAreReported(t *testing.T) {
	table := NewTable(lease)
	if got := table.Announce(start, record(1, ready)); !got {
		t.Error("first announcement: Announce() = false, want true")
	}
	busy := record(2, ready)
	busy.InUse, busy.ChunksWhole = 7, 3
	if got := table.Announce(start, busy); got {
		t.Error("change of load and progress: Announce() = true, want false")
	}
	if got := table.Announce(start, record(3, schema.UpstreamState_UPSTREAM_STATE_LEAVING)); !got {
		t.Error("leaving: Announce() = false, want true")
	}
}
