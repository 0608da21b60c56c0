package registry

import (
	"errors"
	"math"
	"testing"

	"figbank"
	"figbank/schema"
)

func sound() *schema.Instance {
	return &schema.Instance{
		Id: "i", Service: "s", Address: "10.0.0.1:8080", FailureDomain: "a", BornUnixMilli: start.UnixMilli(), Sequence: 1, State: ready,
		Slots: 8, Loaded: &schema.LoadedWeights{Model: "m", Version: 1, Layers: 16},
	}
}

// Another writer leaves an entry that no upstream can have written. Taken as it is, it could never be
// superseded, or overflow what is computed from it.
func TestOddRecordsAreIgnored(t *testing.T) {
	scenarios := []struct {
		name  string
		spoil func(*schema.Instance)
		valid bool
	}{
		{name: "sound", spoil: func(*schema.Instance) {}, valid: true},
		{name: "a named host", spoil: func(r *schema.Instance) { r.Address = "host-1:80" }, valid: true},
		{name: "no birth", spoil: func(r *schema.Instance) { r.BornUnixMilli = 0 }, valid: true},
		{name: "no id", spoil: func(r *schema.Instance) { r.Id = "" }},
		{name: "an id that is no text", spoil: func(r *schema.Instance) { r.Id = "i-\xff\xfe" }},
		{name: "a service that is no text", spoil: func(r *schema.Instance) { r.Service = "s\xff" }},
		{name: "a service that a decoder has mended", spoil: func(r *schema.Instance) { r.Service = "s\uFFFD" }},
		{name: "a failure domain that is no text", spoil: func(r *schema.Instance) { r.FailureDomain = "\xc3" }},
		{name: "a host that is no text", spoil: func(r *schema.Instance) { r.Address = "h\xff:80" }},
		{name: "a model that is no text", spoil: func(r *schema.Instance) { r.Loaded.Model = "\xed\xa0\x80" }},
		{name: "no service", spoil: func(r *schema.Instance) { r.Service = "" }},
		{name: "port out of range", spoil: func(r *schema.Instance) { r.Address = "10.0.0.1:70000" }},
		{name: "port zero", spoil: func(r *schema.Instance) { r.Address = "10.0.0.1:0" }},
		{name: "negative port", spoil: func(r *schema.Instance) { r.Address = "10.0.0.1:-1" }},
		{name: "a word as the port", spoil: func(r *schema.Instance) { r.Address = "10.0.0.1:http" }},
		{name: "no host", spoil: func(r *schema.Instance) { r.Address = ":8080" }},
		{name: "any host", spoil: func(r *schema.Instance) { r.Address = "0.0.0.0:8080" }},
		{name: "no address", spoil: func(r *schema.Instance) { r.Address = "" }},
		{name: "born at the end of time", spoil: func(r *schema.Instance) { r.BornUnixMilli = math.MaxInt64 }},
		{name: "born before all time", spoil: func(r *schema.Instance) { r.BornUnixMilli = math.MinInt64 }},
		{name: "last sequence", spoil: func(r *schema.Instance) { r.Sequence = math.MaxUint64 }},
		{name: "slots without end", spoil: func(r *schema.Instance) { r.Slots = math.MaxInt64 }},
		{name: "cold for ever", spoil: func(r *schema.Instance) { r.ColdMilliseconds = math.MaxInt64 }},
		{name: "last version", spoil: func(r *schema.Instance) { r.Loaded.Version = math.MaxInt64 }},
		{name: "layers without end", spoil: func(r *schema.Instance) { r.Loaded.Layers = math.MaxInt64 }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			odd := sound()
			s.spoil(odd)
			if err := CheckInstance(start, odd); (err == nil) != s.valid || err != nil && !errors.As(err, new(figbank.InvalidError)) {
				t.Errorf("CheckInstance() = %v, want valid %t", err, s.valid)
			}
			r := New(lease)
			r.Announce(start, odd)
			if got := len(r.Upstreams(AnyService)) == 1; got != s.valid {
				t.Errorf("known after the announcement = %t, want %t", got, s.valid)
			}
			later := sound()
			later.Sequence = 2
			later.Slots = 4
			r.Announce(start, later)
			if got := r.Upstreams(AnyService); len(got) != 1 && odd.GetId() == later.GetId() || s.valid && got[0].Record.GetSlots() != 4 {
				t.Errorf("upstreams after a sound announcement = %v, want that one", got)
			}
		})
	}
}

func TestOddEngineStatesAreIgnored(t *testing.T) {
	states := []*schema.EngineState{
		{BornUnixMilli: 1},
		{Address: "10.0.0.1:70000", BornUnixMilli: 1},
		{Address: "10.0.0.1:8080", BornUnixMilli: math.MaxInt64},
		{Address: "h\xff:8080", BornUnixMilli: 1},
		{Address: "10.0.0.1:8080", BornUnixMilli: 1, Loaded: &schema.LoadedWeights{Model: "m\xff"}},
		{Address: "10.0.0.1:8080", BornUnixMilli: 1, AgentStartUnixNano: math.MaxInt64},
		{Address: "10.0.0.1:8080", BornUnixMilli: 1, Sequence: math.MaxUint64},
		{Address: "10.0.0.1:8080", BornUnixMilli: 1, Loaded: &schema.LoadedWeights{Version: math.MaxInt64}},
	}
	for _, state := range states {
		r := New(lease)
		if r.MergeEngine(start, state) || r.Revision() != 0 {
			t.Errorf("MergeEngine(%v) was merged, want it ignored", state)
		}
	}
}
