package agent

import (
	"context"
	"time"

	"figbank"
	"figbank/admission"
	"figbank/schema"

	"go.uber.org/zap"
)

const (
	// statusTimeout limits the duration of one status request to the engine.
	statusTimeout = 2 * time.Second
	// maxEmptyStatuses is how many statuses in succession may lack the incarnation that the engine has
	// reported before. After more of them, it is taken for an engine that reports none.
	maxEmptyStatuses = 10
)

// incarnationCheck notices statuses that lack the engine's incarnation. It is not safe for concurrent use.
type incarnationCheck struct {
	// expected is set if the engine reports its incarnation. empty counts the statuses since then
	// without one.
	expected bool
	empty    int
}

// check returns a ProtocolError if a status lacks an incarnation that it should have.
func (c *incarnationCheck) check(status *schema.EngineStatus) error {
	if status.GetIncarnation() != "" {
		c.expected, c.empty = true, 0
		return nil
	}
	c.empty++
	if !c.expected || c.empty > maxEmptyStatuses {
		c.expected = false
		return nil
	}
	return figbank.ProtocolError{Detail: "status without the engine's incarnation"}
}

// monitor polls the engine's status and sets the upstream's state accordingly until ctx ends.
func (a *Agent) monitor(ctx context.Context) {
	ticks, stop := a.common.Clock.Tick(a.settings.PollInterval)
	defer stop()
	check := &incarnationCheck{}
	for {
		a.poll(ctx, check)
		select {
		case <-ctx.Done():
			return
		case <-a.pollRequested:
		case <-ticks:
		}
	}
}

// requestPoll makes the monitor poll the engine at once. It is called when the engine's incarnation
// is in doubt.
func (a *Agent) requestPoll() {
	select {
	case a.pollRequested <- struct{}{}:
	default:
	}
}

// suspectRestart records that a call failed before its answer was complete, so the engine may
// have restarted.
func (a *Agent) suspectRestart() {
	a.limiter.Suspect()
	a.requestPoll()
}

func (a *Agent) poll(ctx context.Context, check *incarnationCheck) {
	statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	epoch := a.limiter.Epoch()
	status, err := a.engine.Status(statusCtx)
	if err == nil {
		err = check.check(status)
	}
	if err != nil {
		a.handleOutage(err)
		return
	}
	a.applyStatus(status, epoch)
}

// handleOutage marks the upstream as down after a failed status request, unless it is leaving.
func (a *Agent) handleOutage(err error) {
	state, manifest := a.gate.current()
	if state == schema.UpstreamState_UPSTREAM_STATE_DOWN || a.leaving.Load() {
		return
	}
	a.common.Log.Warn("upstream does not answer", figbank.ErrorField(err))
	a.event("UpstreamLost", "", "")
	a.outages.Add(1)
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_DOWN, manifest)
	a.changed.raise()
}

// applyStatus applies an engine's status. epoch is the limiter's epoch from before the status was
// requested. applyStatus ignores the status of an earlier incarnation.
func (a *Agent) applyStatus(status *schema.EngineStatus, epoch admission.Epoch) {
	if a.limiter.Retired(incarnationOf(status, a.outages.Load())) {
		return
	}
	a.status.Store(status)
	a.confirmIncarnation(epoch)
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

// noticeIncarnation stores the incarnation that the answer to a call reports, since a call may show
// a restart before the next poll does. epoch is the limiter's epoch from before the call was sent.
// noticeIncarnation ignores an empty incarnation and earlier ones.
func (a *Agent) noticeIncarnation(reported figbank.Incarnation, epoch admission.Epoch) {
	known := a.status.Load()
	if reported == "" || a.limiter.Retired(reported) {
		return
	}
	a.status.Store(&schema.EngineStatus{
		Incarnation: string(reported), Ready: known.GetReady(), Manifest: known.GetManifest(), Fencing: known.GetFencing(),
	})
	a.confirmIncarnation(epoch)
}

// confirmIncarnation passes the current incarnation to the limiter. epoch is the limiter's epoch
// from before the engine was asked. A new incarnation counts as a cold start.
func (a *Agent) confirmIncarnation(epoch admission.Epoch) {
	if a.limiter.ConfirmIncarnation(a.common.Clock.Now(), epoch, a.incarnation()) {
		a.event("ColdStart", "", string(a.incarnation()))
		a.changed.raise()
	}
}
