package registry

import (
	"fmt"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

func under(id, service, address string, born int64, state schema.InstanceState) *schema.Instance {
	return &schema.Instance{Id: id, Service: service, Address: address, BornUnixMilli: born, Sequence: 1, State: state}
}

func services(names ...figbank.ServiceName) map[figbank.ServiceName]bool {
	named := map[figbank.ServiceName]bool{}
	for _, name := range names {
		named[name] = true
	}
	return named
}

// An entry that names no upstream hid those at its address and under its id. What it names is decided by the rules of the reader.
func TestRecordOfUnnamedServiceHidesNone(t *testing.T) {
	scenarios := []struct {
		name    string
		records []*schema.Instance
		named   []figbank.ServiceName
		want    []string
	}{
		{name: "at one address", records: []*schema.Instance{under("i", "s", "a:1", 5, ready), under("x", "other", "a:1", 9, ready)}, named: []figbank.ServiceName{"s"}, want: []string{"i s"}},
		{name: "at one address, silent upstream", records: []*schema.Instance{under("i", "s", "a:1", 5, silent), under("x", "other", "a:1", 9, ready)}, named: []figbank.ServiceName{"s"}, want: []string{"i s"}},
		{name: "under one id", records: []*schema.Instance{under("i", "s", "a:1", 5, ready), under("i", "other", "b:1", 9, leaving)}, named: []figbank.ServiceName{"s"}, want: []string{"i s"}},
		{name: "the other service is named, and its incarnation is the later one", records: []*schema.Instance{under("i", "s", "a:1", 5, ready), under("x", "other", "a:1", 9, ready)}, named: []figbank.ServiceName{"s", "other"}, want: []string{"x other"}},
		{name: "only the other service is named", records: []*schema.Instance{under("i", "s", "a:1", 5, ready), under("x", "other", "a:1", 3, ready)}, named: []figbank.ServiceName{"other"}, want: []string{"x other"}},
		{name: "two named services under one id", records: []*schema.Instance{under("i", "s", "a:1", 5, ready), under("i", "other", "b:1", 9, leaving)}, named: []figbank.ServiceName{"s", "other"}, want: []string{"i other"}},
		{name: "two named services under one id, the later incarnation has ended", records: []*schema.Instance{under("i", "s", "a:1", 5, ready), under("i", "other", "b:1", 9, silent)}, named: []figbank.ServiceName{"s", "other"}, want: []string{"i s"}},
		{name: "no service is named", records: []*schema.Instance{under("i", "s", "a:1", 5, ready)}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := New(lease)
			for _, record := range s.records {
				r.Announce(start, record)
			}
			named := services(s.named...)
			var got []string
			for _, upstream := range r.Upstreams(func(name figbank.ServiceName) bool { return named[name] }) {
				got = append(got, upstream.Record.GetId()+" "+upstream.Record.GetService())
			}
			if fmt.Sprint(got) != fmt.Sprint(s.want) {
				t.Errorf("upstreams = %v, want %v", got, s.want)
			}
		})
	}
}

// Gateways are told of records of services that are named, as soon as they are; replicas of all.
func TestRecordsOfUnnamedServicesAreToldToReplicas(t *testing.T) {
	r := New(lease)
	r.SetServices(services("s"))
	r.Announce(start, under("i", "s", "a:1", 5, ready))
	if r.Announce(start, under("x", "other", "a:1", 9, ready)) {
		t.Error("a record of a service that no rules name changes routing, want it not to")
	}
	if got := len(r.Since(0, false).Instances); got != 1 {
		t.Errorf("records for gateways = %d, want 1", got)
	}
	if got := len(r.Since(0, true).Instances); got != 2 {
		t.Errorf("records for replicas = %d, want 2", got)
	}
	cursor := r.Revision()
	if !r.SetServices(services("s", "other")) {
		t.Error("naming the service changes nothing, want its record to count")
	}
	if got := r.Since(cursor, false).Instances; len(got) != 1 || got[0].GetId() != "x" {
		t.Errorf("records for gateways once the service is named = %v, want that of x", got)
	}
	if r.SetServices(services("s")) {
		t.Error("dropping a service makes records count, want none")
	}
}

// Another writer announces a new id each time. What it leaves must not grow without end, nor push out upstreams.
func TestRecordsOfUnnamedServicesAreForgotten(t *testing.T) {
	r := New(lease)
	r.SetServices(services("s"))
	r.Announce(start, under("i", "s", "a:1", 5, ready))
	for i := range maxUnnamed + 10 {
		r.Announce(start.Add(time.Duration(i)), under(fmt.Sprint("x", i), "other", "a:1", 9, leaving))
	}
	if got := r.ForgetUnnamed(start.Add(time.Second)); got != maxUnnamed || len(r.instances) != maxUnnamed+1 {
		t.Errorf("records kept = %d of %d, want %d and that of the upstream", got, len(r.instances), maxUnnamed)
	}
	if r.Instance("x9", "other") != nil || r.Instance("x10", "other") == nil {
		t.Error("the records announced least recently are kept, want the others")
	}
	if got := r.ForgetUnnamed(start.Add(unnamedRetention + time.Second)); got != 0 || r.Instance("i", "s") == nil {
		t.Errorf("records kept after %v = %d, want that of the upstream alone", unnamedRetention, got)
	}
}
