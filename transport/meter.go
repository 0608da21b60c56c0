package transport

import (
	"sync/atomic"

	"figbank"
	"figbank/schema"

	"github.com/uber-go/tally/v4"
)

type (
	// Usage is the traffic of one kind of stream, in both directions.
	Usage struct {
		Kind                            schema.StreamKind
		SentMessages, SentBytes         int64
		ReceivedMessages, ReceivedBytes int64
	}

	// Meter counts the traffic of each kind of stream. It is safe for concurrent use.
	Meter struct {
		kinds map[schema.StreamKind]*kindMeter
	}

	kindMeter struct {
		sent, received directionMeter
	}

	directionMeter struct {
		messages, bytes         atomic.Int64
		messageCount, byteCount tally.Counter
	}
)

// NewMeter returns a meter that also reports to the metrics scope of common.
func NewMeter(common figbank.Common) *Meter {
	m := &Meter{kinds: map[schema.StreamKind]*kindMeter{}}
	for number, name := range schema.StreamKind_name {
		scope := common.Named("transport").Scope.Tagged(map[string]string{"kind": name})
		m.kinds[schema.StreamKind(number)] = &kindMeter{
			sent:     directionMeter{messageCount: scope.Counter("sent_messages"), byteCount: scope.Counter("sent_bytes")},
			received: directionMeter{messageCount: scope.Counter("heard_messages"), byteCount: scope.Counter("heard_bytes")},
		}
	}
	return m
}

// Usage lists the traffic by kind of stream since the meter was created, in no fixed
// order. It omits kinds without any messages.
func (m *Meter) Usage() []Usage {
	var all []Usage
	for kind, meter := range m.kinds {
		u := Usage{
			Kind:         kind,
			SentMessages: meter.sent.messages.Load(), SentBytes: meter.sent.bytes.Load(),
			ReceivedMessages: meter.received.messages.Load(), ReceivedBytes: meter.received.bytes.Load(),
		}
		if u.SentMessages+u.ReceivedMessages > 0 {
			all = append(all, u)
		}
	}
	return all
}

// of returns the meter of one kind, or nil if m is nil.
func (m *Meter) of(kind schema.StreamKind) *kindMeter {
	if m == nil {
		return nil
	}
	return m.kinds[kind]
}

func (k *kindMeter) countSent(bytes int) {
	if k != nil {
		k.sent.count(bytes)
	}
}

func (k *kindMeter) countReceived(bytes int) {
	if k != nil {
		k.received.count(bytes)
	}
}

func (d *directionMeter) count(bytes int) {
	d.messages.Add(1)
	d.bytes.Add(int64(bytes))
	d.messageCount.Inc(1)
	d.byteCount.Inc(int64(bytes))
}
