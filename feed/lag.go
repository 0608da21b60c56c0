package feed

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"figbank"
	"figbank/condition"
	"figbank/schema"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const (
	// lagPatience is how long after a first feed has told of an index others may not know it yet.
	lagPatience = time.Second
	// lagInterval is the time between two log lines on a lag that lasts.
	lagInterval = 2 * time.Second
	// aheadPatience is how long a process may know more than any of its feeds tells: one that knew it may be lost.
	aheadPatience = 3 * time.Second
)

type (
	// position is what one feed last told of the log.
	position struct {
		replica figbank.Address
		known   *schema.LogPosition
	}

	// lag says how far a process is behind the log.
	lag struct {
		// entries is by how much the fleet state of this process is too old, ahead by how much it is newer than what
		// any feed tells.
		entries, ahead uint64
		// behind lists the replicas that know too little of the log.
		behind []string
		// leaderless is the shortest time for which a replica has known no leader, 0 if one knows a leader.
		leaderless time.Duration
	}

	// indexes are the highest ones of which feeds have told by a time.
	indexes struct {
		at            time.Time
		commit, fleet uint64
	}

	// lagMeter logs and measures the lag of a process. It is safe for concurrent use.
	lagMeter struct {
		common     figbank.Common
		entries    tally.Gauge
		leaderless tally.Gauge

		mu        sync.Mutex
		positions map[figbank.Address]*schema.LogPosition
		// told holds the highest indexes by time. The first ones are older than lagPatience.
		told []indexes
		// late, ahead, partial and idle watch each kind of lag.
		late, ahead, partial, idle condition.Watch
	}
)

// lagOf compares the index of a process's fleet state, and what its feeds have told, with the indexes that
// all of them should know by now.
func lagOf(index uint64, due indexes, positions []position) lag {
	l := lag{entries: due.fleet - min(due.fleet, index)}
	var newest uint64
	for i, p := range positions {
		newest = max(newest, p.known.GetFleet())
		if p.known.GetFleet() < due.fleet || p.known.GetCommit() < due.commit {
			l.behind = append(l.behind, string(p.replica))
		}
		if leaderless := leaderlessTime(p.known); i == 0 || leaderless < l.leaderless {
			l.leaderless = leaderless
		}
	}
	if len(positions) > 0 {
		l.ahead = index - min(index, newest)
	}
	return l
}

// leaderlessTime returns for how long a replica has known no leader.
func leaderlessTime(p *schema.LogPosition) time.Duration {
	if p.GetLeader() != "" {
		return 0
	}
	return time.Duration(p.GetLeaderlessMilliseconds()) * time.Millisecond
}

func newLagMeter(common figbank.Common) *lagMeter {
	watch := condition.Watch{Interval: lagInterval}
	return &lagMeter{
		common: common, entries: common.Scope.Gauge("entries_behind"), leaderless: common.Scope.Gauge("leaderless_seconds"),
		positions: map[figbank.Address]*schema.LogPosition{}, late: watch, partial: watch, idle: watch,
		ahead: condition.Watch{Patience: aheadPatience, Interval: lagInterval},
	}
}

// note records what a feed tells of the log. index is that of this process's fleet state.
func (m *lagMeter) note(replica figbank.Address, told *schema.LogPosition, index uint64) {
	if told == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.positions[replica] = told
	m.measure(replica, told)
	now := m.common.Clock.Now()
	m.report(now, index, m.due(now, told))
}

// forget drops what a feed told that has ended.
func (m *lagMeter) forget(replica figbank.Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.positions, replica)
}

// due adds what a feed has told and returns what all should know.
func (m *lagMeter) due(now time.Time, told *schema.LogPosition) indexes {
	next := indexes{at: now, commit: told.GetCommit(), fleet: told.GetFleet()}
	if len(m.told) > 0 {
		last := m.told[len(m.told)-1]
		next.commit, next.fleet = max(next.commit, last.commit), max(next.fleet, last.fleet)
	}
	m.told = append(m.told, next)
	for len(m.told) > 1 && now.Sub(m.told[1].at) >= lagPatience {
		m.told = m.told[1:]
	}
	if now.Sub(m.told[0].at) < lagPatience {
		return indexes{}
	}
	return m.told[0]
}

func (m *lagMeter) measure(replica figbank.Address, told *schema.LogPosition) {
	scope := m.common.Scope.Tagged(map[string]string{"replica": string(replica)})
	scope.Gauge("delivered_index").Update(float64(told.GetFleet()))
	scope.Gauge("replica_commit").Update(float64(told.GetCommit()))
	scope.Gauge("replica_term").Update(float64(told.GetTerm()))
}

// report logs each kind of lag.
func (m *lagMeter) report(now time.Time, index uint64, due indexes) {
	var positions []position
	for address, known := range m.positions {
		positions = append(positions, position{replica: address, known: known})
	}
	l := lagOf(index, due, positions)
	m.entries.Update(float64(l.entries))
	m.leaderless.Update(l.leaderless.Seconds())
	if lasted, report := m.late.Observe(now, l.entries > 0); report {
		m.common.Log.Warn("fleet state is old", zap.Duration("for", lasted), zap.Uint64("commit", index), zap.Uint64("entries", l.entries), zap.Strings("feeds", describe(positions)))
	}
	if lasted, report := m.ahead.Observe(now, l.ahead > 0); report {
		m.common.Log.Warn("fleet state is ahead of all feeds", zap.Duration("for", lasted), zap.Uint64("commit", index), zap.Uint64("entries", l.ahead), zap.Strings("feeds", describe(positions)))
	}
	if lasted, report := m.partial.Observe(now, len(l.behind) > 0); report {
		m.common.Log.Warn("replicas are behind", zap.Duration("for", lasted), zap.Strings("behind", l.behind), zap.Strings("feeds", describe(positions)))
	}
	if _, report := m.idle.Observe(now, l.leaderless > lagPatience); report {
		m.common.Log.Warn("no replica knows a leader", zap.Duration("for", l.leaderless), zap.Strings("feeds", describe(positions)))
	}
}

// describe lists what each feed last told of the log.
func describe(positions []position) []string {
	texts := make([]string, len(positions))
	for i, p := range positions {
		texts[i] = fmt.Sprintf("%s: commit %d, fleet %d, term %d, leader %q", p.replica, p.known.GetCommit(), p.known.GetFleet(), p.known.GetTerm(), p.known.GetLeader())
	}
	slices.Sort(texts)
	return texts
}
