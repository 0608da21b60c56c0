package agent

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
)

const (
	// reconnectDelay is between tries to reach a gateway.
	reconnectDelay = 200 * time.Millisecond
	// changeInterval is the least time between two announcements of changes.
	changeInterval = 50 * time.Millisecond
)

// announce keeps one gateway told of the upstream.
func (a *Agent) announce(ctx context.Context, gateway figbank.Address) {
	for ctx.Err() == nil {
		if err := a.announceOnce(ctx, gateway); err != nil {
			a.common.Log.Debug("gateway lost", zap.String("gateway", string(gateway)), figbank.ErrorField(err))
		}
		select {
		case <-ctx.Done():
		case <-a.common.Clock.After(reconnectDelay):
		}
	}
}

// announceOnce reports on one stream until it fails.
func (a *Agent) announceOnce(ctx context.Context, gateway figbank.Address) error {
	stream, err := a.pool.Open(ctx, gateway, schema.StreamKind_STREAM_KIND_ANNOUNCE)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	heard := &gatewayView{}
	a.group.Go(func() {
		defer cancel()
		a.receiveAnswers(stream, heard)
	})
	ticks, stop := a.common.Clock.Tick(a.settings.AnnounceInterval)
	defer stop()
	for {
		changed, grown := a.changed.wait(), a.grown.wait()
		report := &schema.AnnounceReport{Upstream: a.Record(), Configuration: heard.lacks(a.holder)}
		if err := stream.Send(report); err != nil {
			return err
		}
		sent := a.common.Clock.Now()
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			continue
		case <-grown:
			continue
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-grown:
		case <-a.common.Clock.After(sent.Add(changeInterval).Sub(a.common.Clock.Now())):
		}
	}
}

func (a *Agent) receiveAnswers(stream *transport.Stream, heard *gatewayView) {
	for {
		answer := &schema.AnnounceAnswer{}
		if err := stream.Receive(answer); err != nil {
			return
		}
		if answer.GetConfiguration() != nil {
			a.holder.Offer(answer.GetConfiguration())
		}
		if answer.GetPeers() != nil {
			a.peers.set(answer.GetPeers())
		}
		heard.set(answer.GetConfigIndex())
		a.caughtUp.Do(func() { close(a.ready) })
	}
}

// gatewayView is the commit index that a gateway is known to have.
type gatewayView struct {
	mu    sync.Mutex
	known bool
	index uint64
}

func (v *gatewayView) set(index uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known, v.index = true, index
}

// lacks returns the configuration for a gateway that is known to be behind.
func (v *gatewayView) lacks(holder *configuration.Holder) *schema.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known {
		return nil
	}
	return holder.NewerThan(v.index)
}
