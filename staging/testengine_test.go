package staging

import (
	"bytes"
	"context"
	"time"

	"figbank"
	"figbank/schema"
)

type (
	// testClock is a steady clock and a boot-time clock that move only by advance. A suspension moves
	// the boot-time clock only.
	testClock struct {
		steady, boot time.Duration
	}

	// testEngine is an engine that loads what is staged, right or wrong.
	testEngine struct {
		clock *testClock
		// beforeCall and afterCall run around each call.
		beforeCall, afterCall func(call string)
		staged                [testPieces][]byte
		badSince              [testPieces]time.Duration
		loaded                int64
		orders                uint64
		busyUntil             time.Duration
		born                  int64
		// loadedBad is set if a piece had been bad for longer than excusedTime when it was loaded.
		loadedBad bool
		// refusesLoaded makes the engine answer that it has the ordered version already.
		refusesLoaded bool
		// loseAnswer and acceptLate affect the next order.
		loseAnswer, acceptLate bool
		late                   func()
	}
)

func (c *testClock) Now() time.Time           { return time.Unix(1000, 0).Add(c.steady) }
func (c *testClock) SinceBoot() time.Duration { return c.boot }

func (c *testClock) After(d time.Duration) <-chan time.Time {
	c.advance(d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

func (c *testClock) Tick(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func (c *testClock) advance(d time.Duration) {
	c.steady += d
	c.boot += d
}

func pieceOf(version int64, piece int) []byte {
	return bytes.Repeat([]byte{byte(version), byte(piece)}, 8)
}

func (e *testEngine) call(name string) func() {
	if e.late != nil {
		e.late()
		e.late = nil
	}
	e.beforeCall(name)
	e.clock.advance(callTime)
	return func() { e.afterCall(name) }
}

func (e *testEngine) Report(context.Context) (Report, error) {
	defer e.call("report")()
	return Report{
		Loaded: &schema.LoadedWeights{Model: testModel, Version: e.loaded, Layers: 1}, Busy: e.clock.boot < e.busyUntil,
		Orders: e.orders, BornUnixMilli: e.born,
	}, nil
}

func (e *testEngine) Put(_ context.Context, _ string, piece int, content []byte) error {
	defer e.call("put")()
	e.staged[piece], e.badSince[piece] = content, 0
	return nil
}

func (e *testEngine) Get(_ context.Context, _ string, piece int) ([]byte, error) {
	defer e.call("get")()
	return e.staged[piece], nil
}

func (e *testEngine) Start(_ context.Context, _ string, version int64, orders uint64) (bool, error) {
	defer e.call("order")()
	if orders != e.orders || e.clock.boot < e.busyUntil {
		return false, figbank.FailedAnswerError{Status: 409}
	}
	if e.refusesLoaded && version == e.loaded {
		return false, nil
	}
	if e.acceptLate {
		e.acceptLate = false
		e.late = func() {
			if orders == e.orders {
				e.accept(version)
			}
		}
		return false, figbank.UnknownOutcomeError{}
	}
	e.accept(version)
	if e.loseAnswer {
		e.loseAnswer = false
		return false, figbank.UnknownOutcomeError{}
	}
	return true, nil
}

// accept loads what is staged at this moment.
func (e *testEngine) accept(version int64) {
	e.orders++
	e.loaded, e.loadedBad, e.busyUntil = version, false, e.clock.boot+loadTime
	for i, content := range e.staged {
		if !bytes.Equal(content, pieceOf(version, i)) && e.clock.boot-e.badSince[i] > excusedTime {
			e.loadedBad = true
		}
	}
}

// spoil makes a staged piece turn bad.
func (e *testEngine) spoil(piece int) {
	e.staged[piece], e.badSince[piece] = []byte("bad"), e.clock.boot
}
