package exchange

import (
	"context"
	"time"

	"figbank"
	"figbank/membership"
	"figbank/schema"
	"figbank/transport"
)

// reporter sends reports to one other gateway over one stream, and remembers what it has sent.
type reporter struct {
	exchange *Exchange
	// sent holds the last reported record of each upstream, by ID.
	sent       map[string]*schema.Upstream
	fullSentAt time.Time
	// peerIndex is the commit index of the configuration that the other gateway has.
	// It is valid once peerIndexKnown is set.
	peerIndex      uint64
	peerIndexKnown bool
}

// reportTo reports to one other gateway the upstreams that announce themselves to
// this one. It reconnects after errors.
func (e *Exchange) reportTo(ctx context.Context, peer figbank.Address) {
	for ctx.Err() == nil {
		_ = e.reportOverStream(ctx, peer)
		e.markContacted(peer)
		select {
		case <-ctx.Done():
		case <-e.common.Clock.After(reconnectDelay):
		}
	}
}

// reportOverStream opens a stream and sends reports over it, at each change and every
// reportInterval, until an error occurs or ctx ends.
func (e *Exchange) reportOverStream(ctx context.Context, peer figbank.Address) error {
	stream, err := e.pool.Open(ctx, peer, schema.StreamKind_STREAM_KIND_EXCHANGE)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	r := &reporter{exchange: e, sent: map[string]*schema.Upstream{}}
	ticks, stop := e.common.Clock.Tick(reportInterval)
	defer stop()
	for {
		changed, configured := e.changeSignal(), e.holder.Changed()
		if err := r.send(stream); err != nil {
			return err
		}
		e.markContacted(peer)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			if !e.waitBatchDelay(ctx) {
				return nil
			}
		case <-configured:
		case <-ticks:
		}
	}
}

// send sends one report and applies the other gateway's answer.
func (r *reporter) send(stream *transport.Stream) error {
	report := r.nextReport()
	if err := stream.Send(report); err != nil {
		return err
	}
	answer := &schema.ExchangeAnswer{}
	if err := stream.Receive(answer); err != nil {
		return err
	}
	r.peerIndexKnown, r.peerIndex = true, answer.GetConfigIndex()
	if answer.GetConfiguration() != nil {
		r.exchange.holder.Offer(answer.GetConfiguration())
	}
	return nil
}

// nextReport returns a full report if one is due. Otherwise it returns a report of
// the changes since the last one.
func (r *reporter) nextReport() *schema.ExchangeReport {
	e := r.exchange
	now := e.common.Clock.Now()
	report := &schema.ExchangeReport{
		From: string(e.common.Process), FailureDomain: string(e.failureDomain),
		ConfigIndex: uint64(e.holder.Index()),
	}
	if r.peerIndexKnown {
		report.Configuration = e.holder.NewerThan(r.peerIndex)
	}
	report.Full = now.Sub(r.fullSentAt) >= fullInterval
	if report.GetFull() {
		r.fullSentAt = now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range e.table.DirectRecords() {
		if report.GetFull() || membership.IsMaterialChange(r.sent[record.GetId()], record) {
			r.sent[record.GetId()] = record
			report.Upstreams = append(report.Upstreams, record)
		}
	}
	return report
}

func (e *Exchange) markContacted(peer figbank.Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.contacted[peer] = true
}

// waitBatchDelay waits for batchDelay. It returns false if ctx ends first.
func (e *Exchange) waitBatchDelay(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.common.Clock.After(batchDelay):
		return true
	}
}
