package control

import (
	"sync"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
)

// unnamedLogInterval is the shortest time between two lines about announcements of services that no rules name. Another writer may
// send any number.
const unnamedLogInterval = 10 * time.Second

// unnamedLog counts and logs announcements of services that the rules do not name. It is safe for concurrent use.
type unnamedLog struct {
	common figbank.Common

	mu       sync.Mutex
	loggedAt time.Time
	skipped  int
}

func (l *unnamedLog) note(instance *schema.Instance) {
	l.common.Scope.Counter("unnamed_announcements").Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.common.Clock.Now()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < unnamedLogInterval {
		l.skipped++
		return
	}
	l.common.Log.Warn("announcement of a service that no rules name, it gets no requests", append(instanceFields(instance), zap.Int("skipped", l.skipped))...)
	l.loggedAt, l.skipped = now, 0
}

// instanceFields describes an announcement in the log.
func instanceFields(instance *schema.Instance) []zap.Field {
	return []zap.Field{
		zap.String("upstream", instance.GetId()), zap.String("service", instance.GetService()),
		zap.String("address", instance.GetAddress()), zap.Stringer("state", instance.GetState()),
		zap.Int64("born", instance.GetBornUnixMilli()), zap.Uint64("sequence", instance.GetSequence()),
		zap.Int64("version", instance.GetLoaded().GetVersion()), zap.Int64("layers", instance.GetLoaded().GetLayers()),
		zap.Int64("coldMilliseconds", instance.GetColdMilliseconds()),
	}
}
