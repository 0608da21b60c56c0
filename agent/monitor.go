package agent

import (
	"context"
	"time"

	"figbank"
	"figbank/admission"
	"figbank/schema"

	"go.uber.org/zap"
)

// statusTimeout bounds one question to the engine.
const statusTimeout = 2 * time.Second

// monitor asks the engine for its status and lets calls through accordingly.
func (a *Agent) monitor(ctx context.Context) {
	ticks, stop := a.common.Clock.Tick(a.settings.PollInterval)
	defer stop()
	for {
		a.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-a.doubt:
		case <-ticks:
		}
	}
}

// pollSoon asks the engine at once which incarnation it is.
func (a *Agent) pollSoon() {
	select {
	case a.doubt <- struct{}{}:
	default:
	}
}

// suspect holds a broken call against the engine: it may have restarted.
func (a *Agent) suspect() {
	a.limiter.Suspect()
	a.pollSoon()
}

func (a *Agent) poll(ctx context.Context) {
	asking, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	mark := a.limiter.Mark()
	status, err := a.engine.Status(asking)
	if err != nil {
		a.engineLost(err)
		return
	}
	a.engineHeard(status, mark)
}

func (a *Agent) engineLost(err error) {
	state, manifest := a.gate.current()
	if state == schema.UpstreamState_UPSTREAM_STATE_DOWN || a.leaving.Load() {
		return
	}
	a.common.Log.Warn("upstream does not answer", figbank.ErrorField(err))
	a.event("UpstreamLost", "", "")
	a.lives.Add(1)
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_DOWN, manifest)
	a.changed.raise()
}

func (a *Agent) engineHeard(status *schema.EngineStatus, mark admission.Doubts) {
	if a.limiter.Retired(incarnationOf(status, a.lives.Load())) {
		return
	}
	a.status.Store(status)
	a.startRamp(mark)
	state, _ := a.gate.current()
	if a.leaving.Load() || state == schema.UpstreamState_UPSTREAM_STATE_SWITCHING {
		return
	}
	next := schema.UpstreamState_UPSTREAM_STATE_STARTING
	if status.GetReady() && (a.settings.Plain || status.GetManifest() != "") {
		next = schema.UpstreamState_UPSTREAM_STATE_READY
	}
	if a.gate.set(next, status.GetManifest()) {
		a.common.Log.Info("upstream changed state", zap.Stringer("state", next), zap.String("manifest", status.GetManifest()))
		a.event("UpstreamState", "", next.String())
		a.changed.raise()
	}
}

// notice looks at the incarnation that an answer tells, to a call sent at mark:
// it may be news before the next poll.
func (a *Agent) notice(told figbank.Incarnation, mark admission.Doubts) {
	known := a.status.Load()
	if told == "" || a.limiter.Retired(told) {
		return
	}
	a.status.Store(&schema.EngineStatus{
		Incarnation: string(told), Ready: known.GetReady(), Manifest: known.GetManifest(), Fencing: known.GetFencing(),
	})
	a.startRamp(mark)
}

// startRamp treats a new incarnation as cold, whatever it was before.
func (a *Agent) startRamp(mark admission.Doubts) {
	if a.limiter.Confirm(a.common.Clock.Now(), mark, a.incarnation()) {
		a.event("ColdStart", "", string(a.incarnation()))
		a.changed.raise()
	}
}
