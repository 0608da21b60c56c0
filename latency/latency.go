// Package latency predicts an engine's latencies from the figures that its service
// publishes. Engines batch requests and process prompts in parts between the token
// steps of other requests. They emit one event per pass, which is a fixed number of
// token steps.
package latency

import (
	"time"

	"figbank/schema"
)

const (
	millionPairs = 1e6
	thousand     = 1e3
	// passesToFirst is how many passes a request waits on average from the end of its prompt
	// processing to its first event: the rest of the current pass, which is half a pass on
	// average, and one pass of its own.
	passesToFirst = 1.5
)

// Predictor predicts the latencies of one service's engines. It is safe for concurrent use.
type Predictor struct {
	model *schema.EngineModel
}

// NewPredictor returns a predictor. The model must not be modified.
func NewPredictor(model *schema.EngineModel) *Predictor {
	return &Predictor{model: model}
}

// Slots returns how many requests an engine runs at once.
func (p *Predictor) Slots() int {
	return int(p.model.GetSlots())
}

// PromptTime returns the time to process a prompt of the given number of tokens, 0 when the
// model states no rate. One part of the time grows with the number of tokens. The other grows
// with the number of pairs of a token and an earlier one.
func (p *Predictor) PromptTime(tokens int) time.Duration {
	if p.model.GetReadTokensPerSecond() <= 0 {
		return 0
	}
	plain := float64(tokens) / p.model.GetReadTokensPerSecond() * thousand
	pairs := float64(tokens) * float64(tokens) / 2 / millionPairs * p.model.GetReadPairsMilliseconds()
	return milliseconds(plain + pairs)
}

// StepTime returns the time of one token step while the given number of requests generate
// answers. Each is assumed to have generated half of a usual answer.
func (p *Predictor) StepTime(running int) time.Duration {
	context := float64(running) * float64(p.model.GetUsualPromptTokens()+p.model.GetUsualAnswerTokens()/2) / thousand
	return milliseconds(p.model.GetStepMilliseconds() +
		float64(running)*p.model.GetStepPerRequestMilliseconds() +
		context*p.model.GetStepPerThousandTokensMilliseconds())
}

// EventInterval returns the time between two events of a stream while the given number of
// requests generate answers and no prompt is being processed.
func (p *Predictor) EventInterval(running int) time.Duration {
	return p.StepTime(running) * time.Duration(max(1, p.model.GetStride()))
}

// CompletionInterval returns the mean time between two successive completions of requests on
// an engine whose slots are all in use.
func (p *Predictor) CompletionInterval() time.Duration {
	slots := max(1, p.Slots())
	generating := p.StepTime(slots) * time.Duration(max(1, p.model.GetUsualAnswerTokens())) / time.Duration(slots)
	return generating + p.PromptTime(int(p.model.GetUsualPromptTokens()))
}

// TimeToFirstEvent predicts the time to the first event of a request with the given number of
// prompt tokens. Outstanding is the number of requests that the engine already has,
// running or waiting.
func (p *Predictor) TimeToFirstEvent(outstanding, prompt int) time.Duration {
	// Prompts of requests that arrived just before are processed first. This is assumed to
	// take the time of one usual prompt when all slots are in use, and proportionally less
	// when fewer are.
	slots := max(1, p.Slots())
	usual := int(p.model.GetUsualPromptTokens())
	return p.TimeToFirstEventBehind(outstanding, usual*min(outstanding+1, slots)/slots, prompt)
}

// TimeToFirstEventBehind is like TimeToFirstEvent for an engine that has still to process
// pendingTokens of the prompts of other requests.
func (p *Predictor) TimeToFirstEventBehind(outstanding, pendingTokens, prompt int) time.Duration {
	slots := max(1, p.Slots())
	running := min(outstanding+1, slots)
	predicted := p.PromptTime(prompt) + time.Duration(passesToFirst*float64(p.EventInterval(running)))
	if usual := int(p.model.GetUsualPromptTokens()); usual > 0 {
		predicted += time.Duration(float64(p.PromptTime(usual)) * float64(pendingTokens) / float64(usual))
	}
	if waiting := outstanding - slots + 1; waiting > 0 {
		predicted += p.CompletionInterval() * time.Duration(waiting)
	}
	return predicted
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
