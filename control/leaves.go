package control

import (
	"sync"

	"figbank"
	"figbank/feed"
	"figbank/registry"
	"figbank/schema"
)

// Leaves knows which leaves of upstreams are in the log as this process has applied it, and reports them in
// the view. It is safe for concurrent use.
type Leaves struct {
	view *feed.View

	mu     sync.Mutex
	stored map[figbank.UpstreamID]*schema.Instance
}

// NewLeaves returns an empty record that reports to view.
func NewLeaves(view *feed.View) *Leaves {
	return &Leaves{view: view, stored: map[figbank.UpstreamID]*schema.Instance{}}
}

// Add adds leaves that the log holds.
func (l *Leaves) Add(upstreams []*schema.Instance) {
	for _, upstream := range upstreams {
		l.mu.Lock()
		id := figbank.UpstreamID(upstream.GetId())
		if known := l.stored[id]; known == nil || registry.Supersedes(upstream, known) {
			l.stored[id] = upstream
		}
		l.mu.Unlock()
		l.view.Announce(upstream)
	}
}

// recorded reports whether the log holds that this incarnation leaves, in the state of the record or a
// later one.
func (l *Leaves) recorded(record *schema.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.stored[figbank.UpstreamID(record.GetId())]
	return known != nil && known.GetBornUnixMilli() == record.GetBornUnixMilli() && known.GetRenewals() == record.GetRenewals() &&
		(known.GetState() == record.GetState() || known.GetState() == schema.InstanceState_INSTANCE_STATE_GONE)
}
