// Package latency predicts an engine's latencies from the figures that its service
// publishes. Engines batch requests and read prompts in parts between the token
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
	// passesToFirst is how many passes a request waits on average from the end of its
	// prompt processing to its first event: half of the current pass, and one of its
	// own.
	passesToFirst = 1.5
)

// Predictor predicts the latencies of one service's engines.
type Predictor struct {
	model *schema.EngineModel
}

// NewPredictor returns a predictor. The model must not be modified.
func NewPredictor(model *schema.EngineModel) *Predictor {
	return &Predictor{model: model}
}

// Slots returns how many requests an engine runs at once.
func (e *Predictor) Slots() int {
	return int(e.model.GetSlots())
}

// PromptTime returns the time to process a prompt of the given number of tokens.
func (e *Predictor) PromptTime(tokens int) time.Duration {
	if e.model.GetReadTokensPerSecond() <= 0 {
		return 0
	}
	plain := float64(tokens) / e.model.GetReadTokensPerSecond() * thousand
	pairs := float64(tokens) * float64(tokens) / 2 / millionPairs * e.model.GetReadPairsMilliseconds()
	return milliseconds(plain + pairs)
}

// StepTime returns the time of one token step while running requests generate answers,
// each with half of its usual answer written.
func (e *Predictor) StepTime(running int) time.Duration {
	context := float64(running) * float64(e.model.GetUsualPromptTokens()+e.model.GetUsualAnswerTokens()/2) / thousand
	return milliseconds(e.model.GetStepMilliseconds() +
		float64(running)*e.model.GetStepPerRequestMilliseconds() +
		context*e.model.GetStepPerThousandTokensMilliseconds())
}

// EventInterval returns the time between two events of a stream while running requests
// generate answers and no prompt is being processed.
func (e *Predictor) EventInterval(running int) time.Duration {
	return e.StepTime(running) * time.Duration(max(1, e.model.GetStride()))
}

// CompletionInterval returns the mean time between the completion of two requests on an
// engine whose slots are all in use.
func (e *Predictor) CompletionInterval() time.Duration {
	slots := max(1, e.Slots())
	generating := e.StepTime(slots) * time.Duration(max(1, e.model.GetUsualAnswerTokens())) / time.Duration(slots)
	return generating + e.PromptTime(int(e.model.GetUsualPromptTokens()))
}

// TimeToFirstEvent predicts the time to the first event of a request with the given number of
// prompt tokens. Outstanding is the number of requests that the engine already has,
// running or waiting.
func (e *Predictor) TimeToFirstEvent(outstanding, prompt int) time.Duration {
	slots := max(1, e.Slots())
	running := min(outstanding+1, slots)
	predicted := e.PromptTime(prompt) + time.Duration(passesToFirst*float64(e.EventInterval(running)))
	// Prompts of requests that have just arrived are processed first. Their mean
	// number is the share of the running requests that are in prompt processing, which
	// is taken as one in slots.
	predicted += e.PromptTime(int(e.model.GetUsualPromptTokens())) * time.Duration(running) / time.Duration(slots)
	if waiting := outstanding - slots + 1; waiting > 0 {
		predicted += e.CompletionInterval() * time.Duration(waiting)
	}
	return predicted
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
