package measure

import (
	"slices"
	"time"
)

type replayEngine struct {
	waiting []*replayRequest
	running []*replayRequest
	busy    bool
}

// pass lets an engine read a part of a prompt and then write the next event of each answer.
func (r *replay) pass(engine int) {
	e := &r.engines[engine]
	for len(e.waiting) > 0 && len(e.running) < r.predictor.Slots() {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	budget, took := int(overloadEngine().GetReadChunkTokens()), time.Duration(0)
	var writing []*replayRequest
	for _, request := range e.running {
		read := min(budget, request.readLeft)
		budget -= read
		request.readLeft -= read
		took += r.predictor.PromptTime(read)
		if request.readLeft == 0 {
			writing = append(writing, request)
		}
	}
	if len(writing) > 0 {
		took += r.predictor.EventInterval(len(writing))
	}
	r.after(took, func() {
		for _, request := range writing {
			r.write(request)
		}
		r.pass(engine)
	})
}

// write writes one event of an answer.
func (r *replay) write(request *replayRequest) {
	if !request.begun {
		request.begun = true
		r.book.Begin(request.ticket)
		r.drifts[request.gateway].Record(r.clock(), r.now-request.sentAt, request.predicted)
		r.begin(request)
	}
	if request.events--; request.events > 0 {
		return
	}
	r.book.End(request.ticket)
	e := &r.engines[request.engine]
	e.running = slices.DeleteFunc(e.running, func(other *replayRequest) bool { return other == request })
}

// begin counts a request whose answer has begun.
func (r *replay) begin(request *replayRequest) {
	k := r.load.Kinds[request.kind]
	for _, o := range r.outcomes(request) {
		if r.now-request.at <= k.Target {
			o.InTime++
			o.Worth += k.Worth
		} else {
			o.Late++
			o.Worth += k.Late
		}
	}
}
