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
	// orderTimeout bounds one attempt to send an order.
	orderTimeout = 1500 * time.Millisecond
	// maxOrderAttempts bounds how often an order is sent while no control address acknowledges
	// or refuses it.
	maxOrderAttempts = 20
	// readInterval is the time between two reads of the configuration. It also bounds the
	// random pause between two attempts to send an order.
	readInterval = 250 * time.Millisecond
)

// operators changes the deployment and reads its configuration back. It is safe for
// concurrent use.
type operators struct {
	control []string
	origin  string
	engine  *standin.Engine
	// majorityRan reports whether a majority of the replicas ran from one time to another.
	majorityRan func(from, to time.Time) bool
	faulty      bool
	maxBody     int
	record      *record
	client      *http.Client

	mu sync.Mutex
	// sent is the highest number of a configuration that was sent, acknowledged the highest
	// that was acknowledged.
	sent, acknowledged int
	// acks holds what was acknowledged, and when.
	acks []ack
	// versionSent is the highest version of the weights that was sent, versionAcknowledged the
	// highest that was acknowledged.
	versionSent, versionAcknowledged int64
}

func newOperators(c *cluster) *operators {
	return &operators{
		control: c.control, origin: c.origin.Address(), engine: c.engine, faulty: c.faultyUpstreams > 0, maxBody: 2 * c.uploads, record: c.record, client: &http.Client{Timeout: orderTimeout},
		majorityRan: c.majorityRan,
		versionSent: 1, versionAcknowledged: 1,
	}
}

// publish sends the next configuration until it is acknowledged or refused, or until
// maxOrderAttempts are used up.
func (o *operators) publish(ctx context.Context) {
	number := o.nextNumber()
	if o.sendUntilAcknowledged(ctx, standin.Publish(o.document(number))) {
		o.noteAck(number)
	}
}

// publishThrough sends the next configuration once, to one control address.
func (o *operators) publishThrough(ctx context.Context, control string) {
	number := o.nextNumber()
	status, _, err := standin.Publish(o.document(number)).Send(ctx, o.client, control)
	if err == nil && status == http.StatusOK {
		o.noteAck(number)
	}
}

func (o *operators) nextNumber() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	return o.sent
}

func (o *operators) noteAck(number int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = max(o.acknowledged, number)
	o.acks = append(o.acks, ack{number: number, at: wall.Now()})
}

// nameVersion sends the order to set the next version of the weights. It repeats the order like
// publish.
func (o *operators) nameVersion(ctx context.Context) {
	o.mu.Lock()
	o.versionSent++
	version := o.versionSent
	o.mu.Unlock()
	if !o.sendUntilAcknowledged(ctx, standin.NameVersion(version)) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versionAcknowledged = max(o.versionAcknowledged, version)
}

// evacuate takes a failure domain out of service, and brings it back after length.
func (o *operators) evacuate(ctx context.Context, domain string, length time.Duration) {
	o.sendUntilAcknowledged(ctx, standin.Evacuate(domain))
	select {
	case <-ctx.Done():
	case <-wall.After(length):
	}
	// The domain is brought back even when the run is canceled.
	o.sendUntilAcknowledged(context.WithoutCancel(ctx), standin.EndEvacuation(domain))
}

// sendUntilAcknowledged sends an order to random control addresses until one of them
// acknowledges or refuses it. It gives up after maxOrderAttempts or when ctx ends. It reports
// whether the order was acknowledged, and records a refusal as a violation.
func (o *operators) sendUntilAcknowledged(ctx context.Context, order standin.Order) bool {
	for range maxOrderAttempts {
		if ctx.Err() != nil {
			return false
		}
		status, _ := o.send(ctx, order)
		switch {
		case status == http.StatusOK:
			return true
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
			o.record.addViolation("Config", "%s %s was refused with %d", order.Method, order.Path, status)
			return false
		}
		wall.sleep(time.Duration(rand.Int64N(int64(readInterval)))) //nolint:gosec // spreads load, no secret
	}
	return false
}

// send sends an order once to a random control address. Status 0 means that no answer
// came.
func (o *operators) send(ctx context.Context, order standin.Order) (int, []byte) {
	control := o.control[rand.IntN(len(o.control))] //nolint:gosec // spreads load, no secret
	status, content, err := order.Send(ctx, o.client, control)
	if err != nil {
		return 0, nil
	}
	return status, content
}

// watch reads the configuration periodically until ctx ends. It records a violation each time no read has been
// answered for as long as an election may take, although a majority of the replicas ran all the while.
func (o *operators) watch(ctx context.Context) {
	answered := wall.Now()
	for ctx.Err() == nil {
		_, err := o.read(ctx)
		now := wall.Now()
		if err == nil {
			answered = now
		}
		if since := now.Sub(answered); since > contactTime+unstableTime {
			if o.majorityRan(answered, now) {
				o.record.addViolation("Config", "no read was answered for %v, though a majority of the replicas ran", since.Round(time.Millisecond))
			}
			answered = now
		}
		wall.sleep(readInterval)
	}
}

// read returns the number of the configuration in force. It records a violation if that
// configuration is invalid, does not contain the marker of its number, or is older than the
// newest one that was acknowledged before the read.
func (o *operators) read(ctx context.Context) (int, error) {
	o.mu.Lock()
	acknowledged := o.acknowledged
	o.mu.Unlock()
	status, content := o.send(ctx, standin.ReadConfiguration())
	if status != http.StatusOK {
		return 0, figbank.InvalidError{Subject: "read of the configuration", Detail: fmt.Sprintf("status %d", status)}
	}
	number, marker, err := standin.ReadDocument(content)
	if err != nil {
		o.record.addViolation("Config", "the configuration that was read back is invalid: %.80q", content)
		return 0, err
	}
	if number < acknowledged {
		o.record.addViolation("Config", "number %d was read back after %d was acknowledged", number, acknowledged)
	}
	if marker != markerOf(number) {
		o.record.addViolation("Config", "number %d has the content of another number: %.200q", number, content)
	}
	return number, nil
}

func markerOf(number int) string { return fmt.Sprintf("marker-%d", number) }

// keptOf names the route that was added by a number and stays for keptNumbers.
func keptOf(number int) string { return fmt.Sprintf("kept-%d", number) }

func (o *operators) document(number int) standin.Document {
	var kept []string
	for k := max(1, number-keptNumbers+1); k <= number; k++ {
		kept = append(kept, keptOf(k))
	}
	return standin.Document{
		Kept:   kept,
		Number: number, Origin: o.origin, Pieces: pieces, Layers: layers, Slots: slots, Marker: markerOf(number),
		Engine: o.engine, Work: sizedWork, Faulty: o.faulty, MaxBody: o.maxBody,
	}
}
