package exchange

import (
	"context"
	"time"

	"figbank"
	"figbank/membership"
	"figbank/schema"
	"figbank/transport"
)

// reporter is what one other gateway has been told.
type reporter struct {
	exchange *Exchange
	told     map[string]*schema.Upstream
	toldAll  time.Time
	// index is the configuration that the other gateway has, once known.
	index uint64
	known bool
}

// report keeps one other gateway told of what this one hears.
func (e *Exchange) report(ctx context.Context, peer figbank.Address) {
	for ctx.Err() == nil {
		_ = e.reportOnce(ctx, peer)
		e.markAsked(peer)
		select {
		case <-ctx.Done():
		case <-e.common.Clock.After(reconnectDelay):
		}
	}
}

func (e *Exchange) reportOnce(ctx context.Context, peer figbank.Address) error {
	stream, err := e.pool.Open(ctx, peer, schema.StreamKind_STREAM_KIND_EXCHANGE)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	r := &reporter{exchange: e, told: map[string]*schema.Upstream{}}
	ticks, stop := e.common.Clock.Tick(reportInterval)
	defer stop()
	for {
		changed, configured := e.change(), e.holder.Changed()
		if err := r.send(stream); err != nil {
			return err
		}
		e.markAsked(peer)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			if !e.pause(ctx) {
				return nil
			}
		case <-configured:
		case <-ticks:
		}
	}
}

// send sends one report and takes in the answer.
func (r *reporter) send(stream *transport.Stream) error {
	report := r.next()
	if err := stream.Send(report); err != nil {
		return err
	}
	answer := &schema.ExchangeAnswer{}
	if err := stream.Receive(answer); err != nil {
		return err
	}
	r.known, r.index = true, answer.GetConfigIndex()
	if answer.GetConfiguration() != nil {
		r.exchange.holder.Offer(answer.GetConfiguration())
	}
	return nil
}

func (r *reporter) next() *schema.ExchangeReport {
	e := r.exchange
	now := e.common.Clock.Now()
	report := &schema.ExchangeReport{
		From: string(e.common.Process), FailureDomain: string(e.failureDomain),
		ConfigIndex: uint64(e.holder.Index()),
	}
	if r.known {
		report.Configuration = e.holder.NewerThan(r.index)
	}
	report.Full = now.Sub(r.toldAll) >= fullInterval
	if report.GetFull() {
		r.toldAll = now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range e.table.Direct() {
		if report.GetFull() || membership.Material(r.told[record.GetId()], record) {
			r.told[record.GetId()] = record
			report.Upstreams = append(report.Upstreams, record)
		}
	}
	return report
}

func (e *Exchange) markAsked(peer figbank.Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[peer] = true
}

func (e *Exchange) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.common.Clock.After(settleDelay):
		return true
	}
}
