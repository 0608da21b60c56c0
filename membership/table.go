// Package membership decides which upstreams are alive. Upstreams announce themselves to the
// gateways of their failure domain, and gateways report the announcements to the other gateways. An
// upstream is alive while it announces itself to this process, or while a gateway whose reports
// still arrive lists it as alive.
package membership

import (
	"cmp"
	"slices"
	"time"

	"figbank"
	"figbank/schema"
)

type (
	// Table holds the upstreams' own announcements and the reports of other gateways.
	// It is not safe for concurrent use. It stores the records that it is given without
	// copying them, so callers must not modify them.
	Table struct {
		lease   time.Duration
		direct  map[figbank.UpstreamID]*directRecord
		sources map[figbank.ProcessID]*source
	}

	// directRecord is the newest record of an upstream that announces itself to this
	// process.
	directRecord struct {
		record    *schema.Upstream
		lastHeard time.Time
	}

	// source holds the upstreams that another gateway reports.
	source struct {
		records   map[figbank.UpstreamID]*schema.Upstream
		lastHeard time.Time
	}
)

// NewTable returns an empty table. An upstream's announcement expires when the upstream has sent no
// other one for longer than lease. A gateway's reports expire when none has arrived from that
// gateway for longer than lease.
func NewTable(lease time.Duration) *Table {
	return &Table{
		lease:   lease,
		direct:  map[figbank.UpstreamID]*directRecord{},
		sources: map[figbank.ProcessID]*source{},
	}
}

// Announce records an upstream's own announcement, unless a newer one is known. It reports whether
// the announcement is the first from this upstream or a material change, as defined by
// IsMaterialChange.
func (t *Table) Announce(now time.Time, record *schema.Upstream) bool {
	id := figbank.UpstreamID(record.GetId())
	known, found := t.direct[id]
	if !found {
		t.direct[id] = &directRecord{record: record, lastHeard: now}
		return true
	}
	if IsNewer(known.record, record) {
		return false
	}
	material := IsMaterialChange(known.record, record)
	known.record = record
	known.lastHeard = now
	return material
}

// Report records the upstreams that announce themselves to another gateway. A full report
// replaces all earlier records from that gateway. The result is true if a record was
// added, removed or materially changed, or if nothing had arrived from that gateway for
// longer than the lease.
func (t *Table) Report(now time.Time, from figbank.ProcessID, records []*schema.Upstream, full bool) (changed bool) {
	view, found := t.sources[from]
	if !found {
		view = &source{records: map[figbank.UpstreamID]*schema.Upstream{}}
		t.sources[from] = view
	}
	returned := now.Sub(view.lastHeard) > t.lease
	view.lastHeard = now
	before := view.records
	if full {
		view.records = make(map[figbank.UpstreamID]*schema.Upstream, len(records))
	}
	changed = returned || full && len(before) != len(records)
	for _, record := range records {
		id := figbank.UpstreamID(record.GetId())
		changed = changed || IsMaterialChange(before[id], record)
		view.records[id] = record
	}
	return changed
}

// Expire marks as down the upstreams that announced themselves to this process and
// whose lease has expired. It reports whether there were any.
func (t *Table) Expire(now time.Time) bool {
	expired := false
	for _, known := range t.direct {
		if now.Sub(known.lastHeard) <= t.lease || known.record.GetState() == schema.UpstreamState_UPSTREAM_STATE_DOWN {
			continue
		}
		known.record = downCopy(known.record)
		expired = true
	}
	return expired
}

// Alive returns the newest record of each upstream that is alive, sorted by id. It ignores records
// in state down, so an upstream is alive if any other valid record of it exists. An upstream that
// announces itself to this process counts as alive until Expire marks it as down. Callers must not
// modify the records.
func (t *Table) Alive(now time.Time) []*schema.Upstream {
	newest := map[figbank.UpstreamID]*schema.Upstream{}
	keepNewest := func(record *schema.Upstream) {
		id := figbank.UpstreamID(record.GetId())
		if record.GetState() == schema.UpstreamState_UPSTREAM_STATE_DOWN {
			return
		}
		if known, found := newest[id]; !found || IsNewer(record, known) {
			newest[id] = record
		}
	}
	for _, known := range t.direct {
		keepNewest(known.record)
	}
	for _, view := range t.sources {
		if now.Sub(view.lastHeard) > t.lease {
			continue
		}
		for _, record := range view.records {
			keepNewest(record)
		}
	}
	alive := make([]*schema.Upstream, 0, len(newest))
	for _, record := range newest {
		alive = append(alive, record)
	}
	slices.SortFunc(alive, func(a, b *schema.Upstream) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return alive
}

// DirectRecords returns the records of all upstreams that announced themselves to this
// process, including those that are down.
func (t *Table) DirectRecords() []*schema.Upstream {
	records := make([]*schema.Upstream, 0, len(t.direct))
	for _, known := range t.direct {
		records = append(records, known.record)
	}
	return records
}

// IsNewer reports whether an upstream's announcement a is newer than b: its agent started
// later, or the same agent sent it later.
func IsNewer(a, b *schema.Upstream) bool {
	return cmp.Or(
		cmp.Compare(a.GetAgentStartUnixNano(), b.GetAgentStartUnixNano()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	) > 0
}

// IsMaterialChange reports whether the change from a to b matters to routing or to other gateways.
// a is nil for a new upstream, which always matters. Changes of load or progress do not matter:
// gateways learn of load from answers, and progress can wait.
func IsMaterialChange(a, b *schema.Upstream) bool {
	return a == nil ||
		a.GetState() != b.GetState() ||
		a.GetIncarnation() != b.GetIncarnation() ||
		a.GetManifest() != b.GetManifest() ||
		a.GetAddress() != b.GetAddress() ||
		a.GetLimit() != b.GetLimit() ||
		a.GetService() != b.GetService() ||
		a.GetAgentStartUnixNano() != b.GetAgentStartUnixNano() ||
		a.GetWholeManifest() != b.GetWholeManifest() ||
		a.GetConfigIndex() != b.GetConfigIndex()
}

// downCopy returns a copy of a record in state down, without load and weights. It does not modify
// the original, which may still be in use elsewhere.
func downCopy(record *schema.Upstream) *schema.Upstream {
	return &schema.Upstream{
		Id: record.GetId(), Service: record.GetService(), Region: record.GetRegion(),
		FailureDomain: record.GetFailureDomain(), Address: record.GetAddress(),
		Incarnation: record.GetIncarnation(), AgentStartUnixNano: record.GetAgentStartUnixNano(),
		Sequence: record.GetSequence(), State: schema.UpstreamState_UPSTREAM_STATE_DOWN,
	}
}
