package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"figbank"
	"figbank/platform/standin"
)

const (
	orderTimeout = 1500 * time.Millisecond
	// orderTries bounds the sendings of one change that gets no clear answer.
	orderTries   = 20
	readInterval = 250 * time.Millisecond
)

// operators change the deployment and read it back; several may do so at once. It
// is safe for concurrent use.
type operators struct {
	control []string
	origin  string
	record  *record
	client  *http.Client

	mu sync.Mutex
	// sent and acknowledged are the highest configuration numbers.
	sent, acknowledged int
	// versionSent and versionAcknowledged are the highest versions of the weights.
	versionSent, versionAcknowledged int64
}

func newOperators(w *world) *operators {
	return &operators{
		control: w.control, origin: w.origin.Address(), record: w.record, client: &http.Client{Timeout: orderTimeout},
		versionSent: 1, versionAcknowledged: 1,
	}
}

// publish offers the next configuration until it is acknowledged or given up.
func (o *operators) publish(ctx context.Context) {
	o.mu.Lock()
	o.sent++
	number := o.sent
	o.mu.Unlock()
	if !o.insist(ctx, standin.Publish(o.document(number))) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = max(o.acknowledged, number)
}

func (o *operators) nameVersion(ctx context.Context) {
	o.mu.Lock()
	o.versionSent++
	version := o.versionSent
	o.mu.Unlock()
	if !o.insist(ctx, standin.NameVersion(version)) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versionAcknowledged = max(o.versionAcknowledged, version)
}

// evacuate takes a zone out and back in after a while.
func (o *operators) evacuate(ctx context.Context, zone string, length time.Duration) {
	o.insist(ctx, standin.Evacuate(zone))
	select {
	case <-ctx.Done():
	case <-wall.After(length):
	}
	// Zones must not stay out, whatever becomes of the run.
	o.insist(context.WithoutCancel(ctx), standin.Return(zone))
}

// insist sends an order to one control address after the other until one
// acknowledges it.
func (o *operators) insist(ctx context.Context, order standin.Order) bool {
	for range orderTries {
		if ctx.Err() != nil {
			return false
		}
		status, _ := o.send(ctx, order)
		switch {
		case status == http.StatusOK:
			return true
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
			o.record.breaks("Config", "%s %s was refused with %d", order.Method, order.Path, status)
			return false
		}
		wall.sleep(time.Duration(rand.Int64N(int64(readInterval)))) //nolint:gosec // spreads load, no secret
	}
	return false
}

// send sends an order once; status 0 says that no answer came.
func (o *operators) send(ctx context.Context, order standin.Order) (int, []byte) {
	control := o.control[rand.IntN(len(o.control))] //nolint:gosec // spreads load, no secret
	status, content, err := order.Send(ctx, o.client, control)
	if err != nil {
		return 0, nil
	}
	return status, content
}

// watch reads the configuration again and again: it must never be older than what
// had been acknowledged when the read was sent, nor other than what was sent.
func (o *operators) watch(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = o.read(ctx)
		wall.sleep(readInterval)
	}
}

func (o *operators) read(ctx context.Context) (int, error) {
	o.mu.Lock()
	acknowledged := o.acknowledged
	o.mu.Unlock()
	status, content := o.send(ctx, standin.ReadBack())
	if status != http.StatusOK {
		return 0, figbank.InvalidError{Subject: "read of the configuration", Detail: fmt.Sprintf("status %d", status)}
	}
	number, marker, err := standin.ReadDocument(content)
	if err != nil {
		o.record.breaks("Config", "read back %.80q", content)
		return 0, err
	}
	if number < acknowledged {
		o.record.breaks("Config", "read back number %d after %d was acknowledged", number, acknowledged)
	}
	if marker != markerOf(number) {
		o.record.breaks("Config", "number %d holds the content of another: %.200q", number, content)
	}
	return number, nil
}

func markerOf(number int) string { return fmt.Sprintf("marker-%d", number) }

func (o *operators) document(number int) standin.Document {
	return standin.Document{
		Number: number, Origin: o.origin, Pieces: pieces, Layers: layers, Slots: slots, Marker: markerOf(number),
	}
}
