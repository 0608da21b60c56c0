package agent

import (
	"context"
	"errors"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/schema"
	"figbank/weights"

	"go.uber.org/zap"
)

const (
	// followInterval is how often the declaration is compared without news.
	followInterval = time.Second
	// grantRetry is between requests for a grant.
	grantRetry = 500 * time.Millisecond
	// grantTimeout bounds one request for a grant.
	grantTimeout = 6 * time.Second
	// confirmTimeout bounds the time from an order to the engine's confirmation.
	confirmTimeout = 90 * time.Second
)

// followDeclaration brings the engine to what is declared, and keeps it there.
func (a *Agent) followDeclaration(ctx context.Context) {
	select {
	case <-a.ready:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		changed := a.changed.wait()
		if wanted := a.wanted(); wanted != nil {
			a.reach(ctx, wanted)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-a.common.Clock.After(followInterval):
		}
	}
}

// wanted returns the declaration to carry out, or nil when there is none.
func (a *Agent) wanted() *schema.Accepted {
	service := configuration.Service(a.holder.Current(), a.service)
	declared := service.GetCurrent().GetDeclaration().GetService()
	if declared.GetManifest() == "" || !configuration.Serves(declared, a.place.FailureDomain) || a.leaving.Load() {
		return nil
	}
	return service.GetCurrent()
}

// reach carries out one declaration; it gives up when another replaces it.
func (a *Agent) reach(ctx context.Context, wanted *schema.Accepted) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.group.Go(func() { a.cancelWhenReplaced(ctx, cancel, wanted) })
	digest := figbank.ManifestDigest(wanted.GetDeclaration().GetService().GetManifest())
	version, err := a.weights.Fetcher.Fetch(ctx, digest)
	if err == nil && a.status.Load().GetManifest() != string(digest) {
		err = a.switchTo(ctx, wanted, version)
	}
	if err == nil {
		err = a.weights.Store.Retain([]figbank.ManifestDigest{digest}, a.settings.VersionsKept)
	}
	if err != nil && ctx.Err() == nil {
		a.common.Log.Warn("declared version not reached, will try again", zap.String("manifest", string(digest)), figbank.ErrorField(err))
	}
}

func (a *Agent) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, wanted *schema.Accepted) {
	for {
		changed := a.holder.Changed()
		current := configuration.Service(a.holder.Current(), a.service).GetCurrent()
		if current.GetCommitIndex() != wanted.GetCommitIndex() {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// switchTo takes the engine out of service and orders it to load a version. An
// engine that serves nothing anyway needs no grant.
func (a *Agent) switchTo(ctx context.Context, wanted *schema.Accepted, version *weights.Version) error {
	if err := a.weights.Store.Verify(version); err != nil {
		return err
	}
	if state, _ := a.gate.current(); state == schema.UpstreamState_UPSTREAM_STATE_READY {
		if err := a.awaitGrant(ctx, version.Digest); err != nil {
			return err
		}
	}
	// The grant is given back even when the declaration was replaced meanwhile.
	defer a.askGrant(context.WithoutCancel(ctx), &schema.GrantRequest{Release: true}) //nolint:errcheck // an unreleased grant expires
	_, manifest := a.gate.current()
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_SWITCHING, manifest)
	a.changed.raise()
	a.event("Switching", "", string(version.Digest))
	defer a.endSwitch()
	if err := a.gate.awaitIdle(ctx); err != nil {
		return err
	}
	if err := a.order(ctx, wanted, version); err != nil {
		return err
	}
	return a.awaitConfirmed(ctx, version.Digest)
}

func (a *Agent) order(ctx context.Context, wanted *schema.Accepted, version *weights.Version) error {
	declared := wanted.GetDeclaration().GetService()
	a.common.Recorder.Record(&schema.Event{
		Part: "agent", Name: "Order", Upstream: string(a.common.Process),
		CommitIndex: wanted.GetCommitIndex(), Detail: string(version.Digest),
	})
	return a.engine.Load(ctx, &schema.LoadOrder{
		Folder: version.Folder, Manifest: string(version.Digest),
		Model: declared.GetModel(), Adapter: declared.GetAdapter(), Version: declared.GetVersion(),
		Fencing: wanted.GetCommitIndex(),
	})
}

// awaitConfirmed returns once the engine says itself that it serves the version.
func (a *Agent) awaitConfirmed(ctx context.Context, digest figbank.ManifestDigest) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		status := a.status.Load()
		if status.GetReady() && status.GetManifest() == string(digest) {
			return nil
		}
		select {
		case <-ctx.Done():
			return figbank.Fail("agent", "NotConfirmed", ctx.Err(), "manifest", digest)
		case <-a.common.Clock.After(a.settings.PollInterval):
		}
	}
}

// endSwitch lets the monitor decide again, on the status just seen.
func (a *Agent) endSwitch() {
	if a.leaving.Load() {
		return
	}
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_STARTING, "")
	a.engineHeard(a.status.Load(), a.limiter.Mark())
	a.changed.raise()
}

func (a *Agent) awaitGrant(ctx context.Context, digest figbank.ManifestDigest) error {
	for {
		answer, err := a.askGrant(ctx, &schema.GrantRequest{Manifest: string(digest)})
		if err == nil && answer.GetGranted() {
			return nil
		}
		select {
		case <-ctx.Done():
			return figbank.Fail("agent", "NoGrant", ctx.Err())
		case <-a.common.Clock.After(grantRetry):
		}
	}
}

// askGrant sends one request to the first gateway that answers.
func (a *Agent) askGrant(ctx context.Context, request *schema.GrantRequest) (*schema.GrantAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	request.Upstream = string(a.common.Process)
	request.Service = string(a.service)
	request.FailureDomain = string(a.place.FailureDomain)
	var failures []error
	for _, gateway := range a.settings.Gateways {
		answer := &schema.GrantAnswer{}
		_, err := a.pool.Call(ctx, gateway, schema.StreamKind_STREAM_KIND_GRANT, request, answer)
		if err == nil {
			return answer, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}
