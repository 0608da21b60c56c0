package reservation

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

const (
	// linkQueue is how many messages to one keeper may wait to be sent.
	linkQueue = 256
	// openTimeout bounds the time to open a stream to a keeper.
	openTimeout = 200 * time.Millisecond
	// failurePause is how long a keeper that did not answer is not asked.
	failurePause = time.Second
	// idleTime is how long a link without messages keeps its goroutine.
	idleTime = 30 * time.Second
)

// link exchanges messages with one keeper. A keeper that is frozen or cut off must not hold
// requests up: messages that cannot be sent at once are dropped, and after a failure the keeper is
// not asked for a while. A link is safe for concurrent use.
type link struct {
	common  figbank.Common
	pool    *transport.Pool
	address figbank.Address

	mu sync.Mutex
	// queue holds the messages to send. It is nil while no goroutine sends.
	queue chan *schema.Reservation
	// waiting holds where to pass the answer to each ask.
	waiting map[uint64]chan *schema.ReservationAnswer
	// held holds the asks that were granted and have not ended, so that a new stream can tell the
	// keeper about them.
	held        map[uint64]*schema.Reservation
	pausedUntil time.Time
}

func newLink(common figbank.Common, pool *transport.Pool, address figbank.Address) *link {
	return &link{
		common: common, pool: pool, address: address,
		waiting: map[uint64]chan *schema.ReservationAnswer{}, held: map[uint64]*schema.Reservation{},
	}
}

// ask sends a request for a place and waits for the answer. It returns nil if there is none within
// askTimeout.
func (l *link) ask(ctx context.Context, message *schema.Reservation) *schema.ReservationAnswer {
	answers := make(chan *schema.ReservationAnswer, 1)
	if !l.begin(message, answers) {
		return nil
	}
	var answer *schema.ReservationAnswer
	select {
	case answer = <-answers:
	case <-ctx.Done():
	case <-l.common.Clock.After(askTimeout):
		l.pause("no answer from the keeper of places")
	}
	l.finish(message, answer)
	return answer
}

// begin registers an ask and sends it. It returns false while the keeper is not asked.
func (l *link) begin(message *schema.Reservation, answers chan *schema.ReservationAnswer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.common.Clock.Now().Before(l.pausedUntil) {
		return false
	}
	l.waiting[message.GetId()] = answers
	l.enqueue(message)
	return true
}

// finish ends an ask. The keeper may have granted a place although its answer did not come, so
// that place is given back.
func (l *link) finish(message *schema.Reservation, answer *schema.ReservationAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, message.GetId())
	if answer == nil {
		l.enqueue(&schema.Reservation{Id: message.GetId(), Kind: schema.ReservationKind_RESERVATION_KIND_END})
		return
	}
	if answer.GetGranted() {
		l.held[message.GetId()] = message
	}
}

// report tells the keeper that an answer has begun or a request has ended.
func (l *link) report(message *schema.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if message.GetKind() == schema.ReservationKind_RESERVATION_KIND_END {
		delete(l.held, message.GetId())
	}
	l.enqueue(message)
}

// enqueue passes a message to the goroutine that sends, and starts it if there is none. The
// caller holds mu.
func (l *link) enqueue(message *schema.Reservation) {
	if l.queue == nil {
		l.queue = make(chan *schema.Reservation, linkQueue)
		go l.run(l.queue)
	}
	select {
	case l.queue <- message:
	default:
		// The keeper frees a place whose end it has not heard of when the request's time ends.
	}
}

// pause stops asking the keeper for a while.
func (l *link) pause(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.common.Clock.Now()
	if now.After(l.pausedUntil) {
		l.common.Log.Info(reason, zap.String("keeper", string(l.address)), zap.Duration("pause", failurePause))
	}
	l.pausedUntil = now.Add(failurePause)
}

// run sends the messages of the queue over one stream, until it fails or no message has come for
// idleTime.
func (l *link) run(queue chan *schema.Reservation) {
	defer l.stop(queue)
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	stream, err := l.pool.Open(ctx, l.address, schema.StreamKind_STREAM_KIND_RESERVE)
	cancel()
	if err != nil {
		l.pause("keeper of places cannot be reached")
		return
	}
	defer stream.Close()
	lost := make(chan struct{})
	go l.receive(stream, lost)
	for _, message := range l.heldPlaces() {
		if stream.Send(message) != nil {
			return
		}
	}
	for {
		select {
		case message := <-queue:
			if stream.Send(message) != nil {
				l.pause("keeper of places was lost")
				return
			}
		case <-lost:
			l.pause("keeper of places was lost")
			return
		case <-l.common.Clock.After(idleTime):
			if l.stopIdle() {
				return
			}
		}
	}
}

// stop lets the next message start a new goroutine.
func (l *link) stop(queue chan *schema.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == queue {
		l.queue = nil
	}
}

// stopIdle is like stop, but does nothing and returns false while this gateway holds a place or
// waits for an answer.
func (l *link) stopIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.held) > 0 || len(l.waiting) > 0 || len(l.queue) > 0 {
		return false
	}
	l.queue = nil
	return true
}

// heldPlaces returns messages that tell a keeper of the places that this gateway holds.
func (l *link) heldPlaces() []*schema.Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var messages []*schema.Reservation
	for id, asked := range l.held {
		messages = append(messages, &schema.Reservation{
			Id: id, Kind: schema.ReservationKind_RESERVATION_KIND_HOLD, Service: asked.GetService(), Upstream: asked.GetUpstream(),
			BornUnixMilli: asked.GetBornUnixMilli(), LifetimeMicroseconds: asked.GetLifetimeMicroseconds(),
		})
	}
	return messages
}

// receive passes the keeper's answers on until the stream ends.
func (l *link) receive(stream *transport.Stream, lost chan<- struct{}) {
	defer close(lost)
	for {
		answer := &schema.ReservationAnswer{}
		if err := stream.Receive(answer); err != nil {
			return
		}
		l.mu.Lock()
		if answers, found := l.waiting[answer.GetId()]; found {
			answers <- answer
			delete(l.waiting, answer.GetId())
		}
		l.mu.Unlock()
	}
}
