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
	// reconnectDelay is the delay before another attempt to announce to a gateway.
	reconnectDelay = 200 * time.Millisecond
	// changeInterval is the minimum delay from an announcement to one that reports a change.
	// It does not apply to an increased limit.
	changeInterval = 50 * time.Millisecond
)

// announce sends announcements to one gateway until ctx ends, and reconnects after failures.
func (a *Agent) announce(ctx context.Context, gateway figbank.Address) {
	for ctx.Err() == nil {
		if err := a.announceOnce(ctx, gateway); err != nil {
			a.common.Log.Debug("announcing to gateway failed", zap.String("gateway", string(gateway)), figbank.ErrorField(err))
		}
		select {
		case <-ctx.Done():
		case <-a.common.Clock.After(reconnectDelay):
		}
	}
}

// announceOnce opens one stream and sends announcements on it until the stream fails or ctx ends.
// It sends one at every AnnounceInterval and after each change.
func (a *Agent) announceOnce(ctx context.Context, gateway figbank.Address) error {
	stream, err := a.pool.Open(ctx, gateway, schema.StreamKind_STREAM_KIND_ANNOUNCE)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	index := &gatewayIndex{}
	a.group.Go(func() {
		defer cancel()
		a.receiveAnswers(stream, index)
	})
	ticks, stop := a.common.Clock.Tick(a.settings.AnnounceInterval)
	defer stop()
	for {
		changed, limitRaised := a.changed.wait(), a.limitRaised.wait()
		report := &schema.AnnounceReport{Upstream: a.Record(), Configuration: index.newerConfiguration(a.holder)}
		if err := stream.Send(report); err != nil {
			return err
		}
		sent := a.common.Clock.Now()
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			continue
		case <-limitRaised:
			continue
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-limitRaised:
		case <-a.common.Clock.After(sent.Add(changeInterval).Sub(a.common.Clock.Now())):
		}
	}
}

// receiveAnswers applies the configurations and peer lists in a gateway's answers.
func (a *Agent) receiveAnswers(stream *transport.Stream, index *gatewayIndex) {
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
		index.set(answer.GetConfigIndex())
		a.gatewayAnsweredOnce.Do(func() { close(a.gatewayAnswered) })
	}
}

// gatewayIndex holds the commit index of a gateway's configuration, as the gateway last reported
// it. It is safe for concurrent use.
type gatewayIndex struct {
	mu    sync.Mutex
	known bool
	index uint64
}

func (g *gatewayIndex) set(index uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known, g.index = true, index
}

// newerConfiguration returns the agent's configuration if the gateway has reported an older one.
// Otherwise it returns nil.
func (g *gatewayIndex) newerConfiguration(holder *configuration.Holder) *schema.Configuration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known {
		return nil
	}
	return holder.NewerThan(g.index)
}
