package agent

import (
	"context"
	"errors"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/schema"
	"figbank/weights"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

const (
	// reconcileInterval is the time between reconciliations if nothing changes.
	reconcileInterval = time.Second
	// firstRetryDelay and maxRetryDelay bound the delay before a declaration whose reconciliation
	// failed is reconciled again, without its jitter.
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
	// grantRetryDelay is the delay between requests for a grant.
	grantRetryDelay = 500 * time.Millisecond
	// grantTimeout limits the time to request a grant from all gateways in turn.
	grantTimeout = 6 * time.Second
	// confirmTimeout limits the time from an order until the engine reports that it serves the
	// version.
	confirmTimeout = 90 * time.Second
)

// reconcileLoop keeps the engine at the declared version until ctx ends. It starts after the
// first answer of a gateway.
func (a *Agent) reconcileLoop(ctx context.Context) {
	select {
	case <-a.gatewayAnswered:
	case <-ctx.Done():
		return
	}
	retries := newRetryDelays()
	for ctx.Err() == nil {
		changed := a.changed.wait()
		var err error
		if desired := a.desired(); desired != nil {
			err = a.reconcile(ctx, desired)
		}
		if err != nil {
			a.awaitRetry(ctx, retries.NextBackOff())
			continue
		}
		retries.Reset()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-a.common.Clock.After(reconcileInterval):
		}
	}
}

// newRetryDelays returns the delays between failed reconciliations. They grow, so that an engine
// that refuses its order is not asked without pause.
func newRetryDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRetryDelay, maxRetryDelay
	delays.Reset()
	return delays
}

// awaitRetry waits for the delay, but no longer than until the configuration changes.
func (a *Agent) awaitRetry(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.holder.Changed():
	case <-a.common.Clock.After(delay):
	}
}

// desired returns the current declaration of the service. It returns nil if the declaration names
// no manifest or excludes this failure domain, or if the upstream is leaving.
func (a *Agent) desired() *schema.Accepted {
	service := configuration.Service(a.holder.Current(), a.service)
	declared := service.GetCurrent().GetDeclaration().GetService()
	if declared.GetManifest() == "" || !configuration.RunsIn(declared, a.location.FailureDomain) || a.leaving.Load() {
		return nil
	}
	return service.GetCurrent()
}

// reconcile fetches the declared version, switches the engine to it and deletes old versions. It
// stops without an error when another declaration replaces desired.
func (a *Agent) reconcile(ctx context.Context, desired *schema.Accepted) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.group.Go(func() { a.cancelWhenReplaced(ctx, cancel, desired) })
	digest := figbank.ManifestDigest(desired.GetDeclaration().GetService().GetManifest())
	version, err := a.weights.Fetcher.Fetch(ctx, digest)
	if err == nil && a.status.Load().GetManifest() != string(digest) {
		err = a.switchTo(ctx, desired, version)
	}
	if err == nil {
		err = a.weights.Store.Retain([]figbank.ManifestDigest{digest}, a.settings.VersionsKept)
	}
	if err == nil || ctx.Err() != nil {
		return nil
	}
	a.common.Log.Warn("applying the declared version failed, will retry", zap.String("manifest", string(digest)), figbank.ErrorField(err))
	return err
}

// cancelWhenReplaced calls cancel once another declaration is in force.
func (a *Agent) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, desired *schema.Accepted) {
	for {
		changed := a.holder.Changed()
		current := configuration.Service(a.holder.Current(), a.service).GetCurrent()
		if current.GetCommitIndex() != desired.GetCommitIndex() {
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

// switchTo takes the upstream out of service and orders the engine to load a version. If the
// upstream is ready, switchTo first waits for a grant, which limits how many upstreams are out of
// service at once.
func (a *Agent) switchTo(ctx context.Context, desired *schema.Accepted, version *weights.Version) error {
	if err := a.weights.Store.Verify(version); err != nil {
		return err
	}
	if state, _ := a.gate.current(); state == schema.UpstreamState_UPSTREAM_STATE_READY {
		if err := a.awaitGrant(ctx, version.Digest); err != nil {
			return err
		}
	}
	// Release the grant even if another declaration has canceled ctx.
	defer a.requestGrant(context.WithoutCancel(ctx), &schema.GrantRequest{Release: true}) //nolint:errcheck // an unreleased grant expires
	_, manifest := a.gate.current()
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_SWITCHING, manifest)
	a.changed.raise()
	a.event("Switching", "", string(version.Digest))
	defer a.endSwitch()
	if err := a.gate.awaitIdle(ctx); err != nil {
		return err
	}
	if err := a.order(ctx, desired, version); err != nil {
		return err
	}
	return a.awaitConfirmed(ctx, version.Digest)
}

// order sends the order to load a version. Its fencing number is the commit index of the
// declaration.
func (a *Agent) order(ctx context.Context, desired *schema.Accepted, version *weights.Version) error {
	declared := desired.GetDeclaration().GetService()
	a.common.Recorder.Record(&schema.Event{
		Part: "agent", Name: "Order", Upstream: string(a.common.Process),
		CommitIndex: desired.GetCommitIndex(), Detail: string(version.Digest),
	})
	return a.engine.Load(ctx, &schema.LoadOrder{
		Folder: version.Folder, Manifest: string(version.Digest),
		Model: declared.GetModel(), Adapter: declared.GetAdapter(), Version: declared.GetVersion(),
		Fencing: desired.GetCommitIndex(),
	})
}

// awaitConfirmed waits until the engine's status reports that the engine serves the version.
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
			return figbank.WrapError("agent", "NotConfirmed", ctx.Err(), "manifest", digest)
		case <-a.common.Clock.After(a.settings.PollInterval):
		}
	}
}

// endSwitch ends the SWITCHING state, unless the upstream is leaving. The next state depends on the
// latest status of the engine.
func (a *Agent) endSwitch() {
	if a.leaving.Load() {
		return
	}
	a.gate.set(schema.UpstreamState_UPSTREAM_STATE_STARTING, "")
	a.applyStatus(a.status.Load(), a.limiter.Epoch())
	a.changed.raise()
}

// awaitGrant requests a grant until a gateway grants it or ctx ends.
func (a *Agent) awaitGrant(ctx context.Context, digest figbank.ManifestDigest) error {
	for {
		answer, err := a.requestGrant(ctx, &schema.GrantRequest{Manifest: string(digest)})
		if err == nil && answer.GetGranted() {
			return nil
		}
		select {
		case <-ctx.Done():
			return figbank.WrapError("agent", "NoGrant", ctx.Err())
		case <-a.common.Clock.After(grantRetryDelay):
		}
	}
}

// requestGrant sends a request for a grant, or for its release, to the gateways in turn until one
// answers.
func (a *Agent) requestGrant(ctx context.Context, request *schema.GrantRequest) (*schema.GrantAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	request.Upstream = string(a.common.Process)
	request.Service = string(a.service)
	request.FailureDomain = string(a.location.FailureDomain)
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
