package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"figbank/latency"
	"figbank/schema"
)

func testPredictor() *latency.Predictor {
	return latency.NewPredictor(&schema.EngineModel{
		Slots: 16, Stride: 6, StepMilliseconds: 7.4, StepPerRequestMilliseconds: 0.0387,
		StepPerThousandTokensMilliseconds: 0.0203, ReadTokensPerSecond: 31900, ReadPairsMilliseconds: 0.733,
		UsualPromptTokens: 973, UsualAnswerTokens: 106,
	})
}

func TestLimit(t *testing.T) {
	engine := testPredictor()
	const target = 400 * time.Millisecond
	long := Kind{UsualPrompt: 1000, LargePrompt: 3500}
	short := Kind{UsualPrompt: 300, LargePrompt: 600}
	lastPlace := engine.TimeToFirstEvent(15, 0)
	headroom := time.Duration(headroomShare * float64(engine.PromptTime(3500)-engine.PromptTime(1000)))
	usual := target - engine.PromptTime(1000)
	scenarios := []struct {
		name     string
		own      Kind
		kinds    []Kind
		target   time.Duration
		pressure float64
		drift    float64
		prompt   int
		// want is the wait for the own prompt to be read.
		want time.Duration
	}{
		{name: "no pressure, its own objective", own: long, kinds: []Kind{long}, prompt: 500, want: target - engine.PromptTime(500)},
		{name: "no kind known", pressure: 1, prompt: 500, want: target - engine.PromptTime(500)},
		{name: "pressure, room for a large one", own: long, kinds: []Kind{long}, pressure: 1, prompt: 500, want: usual - headroom},
		{name: "pressure, the same wait for a large one", own: long, kinds: []Kind{long}, pressure: 1, prompt: 5000, want: usual - headroom},
		{name: "pressure, the same headroom for other kinds", own: short, kinds: []Kind{short, long}, pressure: 1, prompt: 500, want: target - engine.PromptTime(300) - headroom},
		{name: "half of the pressure", own: long, kinds: []Kind{long}, pressure: fullPressure / 2, prompt: 1000, want: usual - headroom/2},
		{name: "drift shortens the wait", own: long, kinds: []Kind{long}, pressure: 1, drift: 1.25, prompt: 500, want: 320*time.Millisecond - engine.PromptTime(1000) - headroom},
		{name: "a free place is always taken", own: long, kinds: []Kind{long}, target: time.Millisecond, pressure: 1, prompt: 500, want: lastPlace},
		{name: "a free place is taken by a prompt that is late by itself", prompt: 20000, want: lastPlace},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := Competition{Engine: engine, Own: s.own, Kinds: s.kinds, Pressure: s.pressure}
			got := c.Limit(cmp.Or(s.target, target), s.prompt, s.drift) - engine.PromptTime(s.prompt)
			if diff := (got - s.want).Abs(); diff > time.Microsecond {
				t.Errorf("wait for the own prompt = %v, want %v", got, s.want)
			}
		})
	}
}

// replayEngine is an engine that works slowdown times as long as predicted.
type replayEngine struct {
	ends     []time.Duration
	reading  []time.Duration
	tokens   []int
	readFree time.Duration
}

// at forgets what has ended, and returns how many requests the engine has and how many tokens of
// prompts it has still to read.
func (e *replayEngine) at(now time.Duration) (outstanding, pending int) {
	for i := 0; i < len(e.ends); {
		if e.ends[i] <= now {
			e.ends = slices.Delete(e.ends, i, i+1)
			e.reading = slices.Delete(e.reading, i, i+1)
			e.tokens = slices.Delete(e.tokens, i, i+1)
			continue
		}
		if e.reading[i] > now {
			pending += e.tokens[i]
		}
		i++
	}
	return len(e.ends), pending
}

func (e *replayEngine) add(now time.Duration, engine *latency.Predictor, prompt int, slowdown float64) {
	start := max(now, e.readFree)
	if len(e.ends) >= engine.Slots() {
		start = max(start, slices.Min(e.ends))
	}
	read := start + time.Duration(slowdown*float64(engine.PromptTime(prompt)))
	e.readFree = read
	e.reading, e.tokens = append(e.reading, read), append(e.tokens, prompt)
	e.ends = append(e.ends, read+time.Duration(slowdown*106*float64(engine.StepTime(engine.Slots()))))
}

// Twice as much is asked of four slow engines as they can serve, and who is refused comes back once. When
// engines were filled up to each request's own objective, large requests found no room.
func TestLargeRequestsAreServedUnderOverload(t *testing.T) {
	const (
		engines, slowdown, drift = 4, 2.0, 1.3
		interval                 = 12 * time.Millisecond
		length                   = 60 * time.Second
		target                   = 400 * time.Millisecond
	)
	type arrival struct {
		at     time.Duration
		prompt int
		again  bool
	}
	served := func(pressure float64) (large, all float64) {
		random := rand.New(rand.NewPCG(7, 7))
		predictor := testPredictor()
		fleet := make([]replayEngine, engines)
		var sizes PromptSizes
		var arrivals []arrival
		for at := time.Duration(0); at < length; at += interval {
			arrivals = append(arrivals, arrival{at: at, prompt: min(3880, 100+int(1100*random.ExpFloat64()))})
		}
		asked, got := [2]int{}, [2]int{}
		for len(arrivals) > 0 {
			next := 0
			for i := range arrivals {
				if arrivals[i].at < arrivals[next].at {
					next = i
				}
			}
			request := arrivals[next]
			arrivals = slices.Delete(arrivals, next, next+1)
			class := 0
			if request.prompt > sizes.Quantile(0.9) {
				class = 1
			}
			if !request.again {
				sizes.Record(request.prompt)
				asked[class]++
			}
			kind := Kind{UsualPrompt: sizes.Quantile(0.6), LargePrompt: sizes.Quantile(0.95)}
			competition := Competition{Engine: predictor, Own: kind, Kinds: []Kind{kind}, Pressure: pressure}
			demand := Demand{PromptTokens: request.prompt, LatencyTarget: target, TimeLeft: time.Minute, Drift: drift}
			demand.Limit = competition.Limit(target, request.prompt, drift)
			candidates := make([]Candidate, engines)
			for i := range fleet {
				outstanding, pending := fleet[i].at(request.at)
				candidates[i] = Candidate{Engine: predictor, Outstanding: outstanding, PendingTokens: pending, Exact: true, SameDomain: true}
			}
			decision := Decide(demand, candidates, random)
			switch {
			case decision.Index >= 0:
				fleet[decision.Index].add(request.at, predictor, request.prompt, slowdown)
				got[class]++
			case !request.again:
				arrivals = append(arrivals, arrival{at: request.at + decision.RetryAfter, prompt: request.prompt, again: true})
			}
		}
		return float64(got[1]) / float64(asked[1]), float64(got[0]+got[1]) / float64(asked[0]+asked[1])
	}
	if large, all := served(0); large >= all/2 {
		t.Errorf("by their own objectives: large served = %.2f, all = %.2f, want a load under which large ones suffer", large, all)
	}
	if large, all := served(1); large < 0.8*all {
		t.Errorf("large served = %.2f, all = %.2f, want at least eight tenths", large, all)
	}
}

func TestPromptSizesQuantile(t *testing.T) {
	scenarios := []struct {
		name        string
		prompts     func(i int) int
		count       int
		share       float64
		least, most int
	}{
		{name: "too few", prompts: func(int) int { return 100 }, count: leastPrompts - 1, share: 0.95},
		{name: "all alike", prompts: func(int) int { return 100 }, count: 50, share: 0.95, least: 100, most: 120},
		{name: "one to a thousand", prompts: func(i int) int { return i%1000 + 1 }, count: 1000, share: 0.95, least: 950, most: 1200},
		{name: "recent ones decide", prompts: func(i int) int { return 100 + 900*min(1, i/1000) }, count: 3000, share: 0.05, least: 1000, most: 1200},
		{name: "empty and enormous ones", prompts: func(i int) int { return i % 2 << 40 }, count: 100, share: 0.95, least: 1 << 23, most: 1 << 24},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var sizes PromptSizes
			for i := range s.count {
				sizes.Record(s.prompts(i))
			}
			if got := sizes.Quantile(s.share); got < s.least || got > s.most {
				t.Errorf("Quantile(%v) = %d, want %d to %d", s.share, got, s.least, s.most)
			}
		})
	}
}
