package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"figbank"
	"figbank/latency"
	"figbank/load"
	"figbank/placement"
	"figbank/reservation"
	"figbank/schema"
)

const (
	// overloadGateways is the number of gateways, each with counts of its own.
	overloadGateways = 24
	// overloadEngines is the number of engines.
	overloadEngines = 30
	// overloadAsks is how many engines a request asks for a place before it is refused.
	overloadAsks = 7
	// overloadReports is how often gateways learn how many requests each engine has.
	overloadReports = 150 * time.Millisecond
	// overloadDeadline is how long a caller waits, overloadPatience the share of what is left of it after which a refused
	// caller comes back at the latest.
	overloadDeadline = 6 * time.Second
	overloadPatience = 3
	// replayWorkspaces is the number of workspaces, of which replayUrgentWorkspace comes before all others.
	replayWorkspaces      = 24
	replayUrgentWorkspace = "w0"
)

type (
	// LoadKind is one kind of requests of a replayed load.
	LoadKind struct {
		Name    string
		Urgency placement.Urgency
		// Share is the share of the kind among all requests.
		Share float64
		// Prompt and Events are the mean lengths of prompts, in tokens, and of answers, in events.
		Prompt, Events int
		Target         time.Duration
		// Worth is what an answer in time is worth, Late what a late one is.
		Worth, Late float64
	}

	// Load is a load that is replayed against the deciders, in virtual time.
	Load struct {
		Name  string
		Kinds []LoadKind
		// Rate returns the requests per second of all kinds, by the time since the start.
		Rate func(at time.Duration) float64
		// Kind returns by how much more is asked of a kind at a time, 1 for no more.
		Burst func(kind int, at time.Duration) float64
		// Domains is the number of failure domains, 0 for one. Skew returns by how much more is asked in a domain.
		Domains int
		Skew    func(domain int, at time.Duration) float64
		// Flood is the share of all requests that come from one workspace. The others come evenly from replayWorkspaces.
		Flood  float64
		Length time.Duration
	}

	// Order tells how requests are ordered in a replay.
	Order struct {
		// Ranks makes urgency count.
		Ranks bool
		// HomeFirst makes requests stay in their failure domain while it serves them in time.
		HomeFirst bool
	}

	replayRequest struct {
		kind      int
		workspace figbank.Workspace
		at        time.Duration
		prompt    int
		events    int
		again     bool
		entrant   placement.Entrant
		// entered is set while the request competes for a place, waited is for how long it has waited for one.
		entered   bool
		waited    time.Duration
		engine    int
		ticket    reservation.Ticket
		sentAt    time.Duration
		predicted time.Duration
		gateway   int
		readLeft  int
		begun     bool
		priority  int
		domain    int
	}

	replay struct {
		load      Load
		order     Order
		random    *rand.Rand
		now       time.Duration
		events    replayEvents
		number    int
		predictor *latency.Predictor
		book      *reservation.Book
		engines   []replayEngine
		counts    []int
		contests  []*placement.Contest
		drifts    []*load.Drift
		own       [][]int
		aways     []*placement.Away
		outcome   *LoadOutcome
		tickets   uint64
	}
)

// overloadEngine is the model of the engines that a load is replayed against.
func overloadEngine() *schema.EngineModel {
	return &schema.EngineModel{
		Slots: 12, Stride: 7, StepMilliseconds: 6.73, StepPerRequestMilliseconds: 0.0219, StepPerThousandTokensMilliseconds: 0.0068,
		ReadTokensPerSecond: 30600, ReadPairsMilliseconds: 0.647, ReadChunkTokens: 2048, UsualPromptTokens: 936, UsualAnswerTokens: 120,
	}
}

// ReplayLoad replays a load against the deciders of gateways and keepers.
func ReplayLoad(replayed Load, order Order, seed uint64) *LoadOutcome {
	r := &replay{
		load: replayed, order: order,
		random:    rand.New(rand.NewPCG(seed, 7)), //nolint:gosec // a fixed sequence
		predictor: latency.NewPredictor(overloadEngine()),
		book:      reservation.NewBook(), engines: make([]replayEngine, overloadEngines), counts: make([]int, overloadEngines),
		outcome: &LoadOutcome{Domains: make([]KindOutcome, max(1, replayed.Domains)), Kinds: make([]KindOutcome, len(replayed.Kinds)), Workspaces: map[figbank.Workspace]*KindOutcome{}},
	}
	for range overloadGateways {
		r.contests = append(r.contests, placement.NewContest())
		r.drifts = append(r.drifts, &load.Drift{})
		r.own = append(r.own, make([]int, overloadEngines))
		r.aways = append(r.aways, &placement.Away{})
	}
	r.after(0, r.report)
	for kind := range replayed.Kinds {
		for domain := range r.outcome.Domains {
			r.after(0, func() { r.arrive(kind, domain) })
		}
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(replayEvent) //nolint:forcetypeassert // nothing else is pushed
		r.now = next.at
		next.act()
	}
	return r.outcome
}

func (r *replay) after(d time.Duration, act func()) {
	r.number++
	heap.Push(&r.events, replayEvent{at: r.now + d, number: r.number, act: act})
}

func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

// report tells all gateways how many requests each engine has.
func (r *replay) report() {
	for i := range r.engines {
		r.counts[i] = len(r.engines[i].waiting) + len(r.engines[i].running)
	}
	for _, own := range r.own {
		clear(own)
	}
	if r.now < r.load.Length+overloadDeadline {
		r.after(overloadReports, r.report)
	}
}

// arrive lets one request of a kind come in a domain, and the next one after a random time.
func (r *replay) arrive(kind, domain int) {
	if r.now >= r.load.Length {
		return
	}
	k := r.load.Kinds[kind]
	rate := r.load.Rate(r.now) * k.Share / float64(len(r.outcome.Domains))
	if r.load.Skew != nil {
		rate *= r.load.Skew(domain, r.now)
	}
	if r.load.Burst != nil {
		rate *= r.load.Burst(kind, r.now)
	}
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(kind, domain) })
	workspace := figbank.Workspace(fmt.Sprint("w", r.random.IntN(replayWorkspaces)))
	if r.random.Float64() < r.load.Flood {
		workspace = "flood"
	}
	request := &replayRequest{
		kind: kind, domain: domain, workspace: workspace, at: r.now, prompt: min(3*k.Prompt, 40+int(float64(k.Prompt)*r.random.ExpFloat64())),
		events: 1 + min(3*k.Events, int(float64(k.Events)*r.random.ExpFloat64())),
	}
	for _, o := range r.outcomes(request) {
		o.Asked++
		o.Owed += k.Worth
	}
	r.ask(request)
}

// ask decides on a request as a gateway does.
func (r *replay) ask(request *replayRequest) {
	domains := len(r.outcome.Domains)
	gateway := r.random.IntN(overloadGateways/domains)*domains + request.domain
	contest, k := r.contests[gateway], r.load.Kinds[request.kind]
	left := request.at + overloadDeadline - r.now
	if request.entered {
		request.waited += placement.WaitStep
	} else {
		urgency := k.Urgency
		if request.workspace == replayUrgentWorkspace {
			urgency.Workspace = -1
		}
		urgency.Returned = request.again
		request.entrant = contest.Enter(r.clock(), placement.Entrant{
			Route: k.Name, Workspace: request.workspace, Prompt: request.prompt, Urgency: urgency, Ranked: r.order.Ranks,
		})
		request.entered, request.waited = true, 0
	}
	competition := contest.Competition(r.clock(), request.entrant).With(r.predictor)
	drift := r.drifts[gateway].Factor(r.clock())
	demand := placement.Demand{
		PromptTokens: request.prompt, LatencyTarget: k.Target, TimeLeft: left, Drift: drift,
		Limit: competition.Limit(k.Target, request.prompt, drift), KeepFree: competition.KeepFree(),
	}
	candidates := make([]placement.Candidate, len(r.engines))
	for i := range candidates {
		candidates[i] = placement.Candidate{Engine: r.predictor, Outstanding: r.counts[i] + r.own[gateway][i], SameDomain: i%domains == request.domain}
	}
	if r.order.HomeFirst {
		demand.Leaving = placement.Leaving{HomeFirst: true, HomeShare: 1, Stays: !r.aways[gateway].May(r.random)}
	}
	var decision placement.Decision
	for asked := 0; ; asked++ {
		decision = placement.Decide(demand, candidates, r.random)
		if asked == overloadAsks {
			decision = placement.Refuse(figbank.ReasonQueueFull, 0, r.random)
		}
		if decision.Index < 0 {
			break
		}
		if r.reserve(request, gateway, decision.Index, demand, &candidates[decision.Index]) {
			return
		}
	}
	if request.waited == 0 {
		contest.RecordMiss(r.clock(), request.entrant)
	}
	if competition.MayWait(request.waited) {
		r.after(placement.WaitStep, func() { r.ask(request) })
		return
	}
	contest.RecordRefusal(r.clock(), request.entrant)
	r.refuse(request, decision.RetryAfter, left)
}

// reserve asks the keeper of an engine for a place.
func (r *replay) reserve(request *replayRequest, gateway, engine int, demand placement.Demand, candidate *placement.Candidate) bool {
	r.tickets++
	ticket := reservation.Ticket{Stream: uint64(gateway), ID: r.tickets} //nolint:gosec // not negative
	verdict := r.book.Reserve(r.clock(), ticket, reservation.Ask{
		Key: reservation.Key{Upstream: figbank.UpstreamID(fmt.Sprint(engine))}, PromptTokens: request.prompt, Allowed: demand.Allowed(),
		Lifetime: demand.TimeLeft, KeepFree: demand.KeepFreeAt(*candidate), Slots: r.predictor.Slots(),
		Predict: func(outstanding, pending int) time.Duration {
			return r.predictor.TimeToFirstEventBehind(outstanding, pending, request.prompt)
		},
	})
	if !candidate.SameDomain {
		r.recordAway(gateway, verdict.Granted)
	}
	candidate.Known, candidate.Outstanding = verdict.Predicted, verdict.Outstanding
	if !verdict.Granted {
		candidate.Full = verdict.Predicted <= demand.Allowed() && placement.LeavesFree(*candidate, demand.KeepFreeAt(*candidate))
		return false
	}
	request.engine, request.gateway, request.ticket = engine, gateway, ticket
	request.sentAt, request.predicted, request.readLeft = r.now, verdict.Predicted, request.prompt
	if r.order.Ranks {
		request.priority = int(r.load.Kinds[request.kind].Urgency.Route)
	}
	r.own[gateway][engine]++
	e := &r.engines[engine]
	e.waiting = append(e.waiting, request)
	slices.SortStableFunc(e.waiting, func(a, b *replayRequest) int { return a.priority - b.priority })
	if !e.busy {
		e.busy = true
		r.pass(engine)
	}
	return true
}

// recordAway records whether another domain has taken a request of a gateway.
func (r *replay) recordAway(gateway int, taken bool) {
	if !taken {
		r.aways[gateway].RecordRefused()
		return
	}
	r.aways[gateway].RecordTaken()
	r.outcome.Away++
}

// refuse lets a caller come back once.
func (r *replay) refuse(request *replayRequest, wait, left time.Duration) {
	if request.again {
		for _, o := range r.outcomes(request) {
			o.Refused++
			o.RefusedAgain++
		}
		return
	}
	request.again, request.entered = true, false
	r.after(min(wait, left/overloadPatience), func() { r.ask(request) })
}
