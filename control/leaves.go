package control

import (
	"sync"

	"figbank/feed"
	"figbank/registry"
	"figbank/schema"
)

// Leaves knows which leaves of upstreams are in the log as this process has applied it, and reports them in
// the view. It is safe for concurrent use.
type Leaves struct {
	view *feed.View

	mu     sync.Mutex
	stored map[leaveKey]*schema.Instance
	// order holds the keys of stored, in the order in which they came.
	order []leaveKey
}

// leaveKey names the upstream that leaves as the log does.
type leaveKey struct {
	id, service string
}

// maxStored is how many leaves are known. One that is not is put into the log again, where it changes nothing.
const maxStored = 1024

func leaveKeyOf(upstream *schema.Instance) leaveKey {
	return leaveKey{id: upstream.GetId(), service: upstream.GetService()}
}

// NewLeaves returns an empty record that reports to view.
func NewLeaves(view *feed.View) *Leaves {
	return &Leaves{view: view, stored: map[leaveKey]*schema.Instance{}}
}

// Add adds leaves that the log holds.
func (l *Leaves) Add(upstreams []*schema.Instance) {
	for _, upstream := range upstreams {
		l.store(upstream)
		l.view.Announce(upstream)
	}
}

func (l *Leaves) store(upstream *schema.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := leaveKeyOf(upstream)
	known, found := l.stored[key]
	if found && !registry.Supersedes(upstream, known) {
		return
	}
	if !found {
		l.order = append(l.order, key)
	}
	l.stored[key] = upstream
	if len(l.order) > maxStored {
		delete(l.stored, l.order[0])
		l.order = l.order[1:]
	}
}

// recorded reports whether the log holds that this incarnation leaves, in the state of the record or a
// later one.
func (l *Leaves) recorded(record *schema.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.stored[leaveKeyOf(record)]
	return known != nil && known.GetBornUnixMilli() == record.GetBornUnixMilli() && known.GetRenewals() == record.GetRenewals() &&
		(known.GetState() == record.GetState() || known.GetState() == schema.InstanceState_INSTANCE_STATE_GONE)
}
