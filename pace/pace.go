// Package pace predicts how fast an engine serves, from the figures that its
// service publishes: engines batch requests, read prompts in pieces between the
// tokens of others, and emit an event a pass.
package pace

import (
	"time"

	"figbank/schema"
)

const (
	millionPairs = 1e6
	thousand     = 1e3
	// passesToFirst is how many passes a request waits on average from the end of
	// its reading to its first event: half of the one under way, and its own.
	passesToFirst = 1.5
)

// Engine predicts for one service's engines.
type Engine struct {
	model *schema.EngineModel
}

// NewEngine returns a predictor. The model must not be modified.
func NewEngine(model *schema.EngineModel) *Engine {
	return &Engine{model: model}
}

// Slots is how many requests run at once.
func (e *Engine) Slots() int {
	return int(e.model.GetSlots())
}

// Read is the time to read a prompt of so many tokens.
func (e *Engine) Read(tokens int) time.Duration {
	if e.model.GetReadTokensPerSecond() <= 0 {
		return 0
	}
	plain := float64(tokens) / e.model.GetReadTokensPerSecond() * thousand
	pairs := float64(tokens) * float64(tokens) / 2 / millionPairs * e.model.GetReadPairsMilliseconds()
	return milliseconds(plain + pairs)
}

// Step is the time of one token step with so many requests writing, each of
// usual length.
func (e *Engine) Step(running int) time.Duration {
	context := float64(running) * float64(e.model.GetUsualPromptTokens()+e.model.GetUsualAnswerTokens()/2) / thousand
	return milliseconds(e.model.GetStepMilliseconds() +
		float64(running)*e.model.GetStepPerRequestMilliseconds() +
		context*e.model.GetStepPerThousandTokensMilliseconds())
}

// Pass is the time from one event of a stream to the next, with so many
// requests writing and none being read.
func (e *Engine) Pass(running int) time.Duration {
	return e.Step(running) * time.Duration(max(1, e.model.GetStride()))
}

// Turnover is the mean time between two ends of requests on a full engine.
func (e *Engine) Turnover() time.Duration {
	slots := max(1, e.Slots())
	writing := e.Step(slots) * time.Duration(max(1, e.model.GetUsualAnswerTokens())) / time.Duration(slots)
	return writing + e.Read(int(e.model.GetUsualPromptTokens()))
}

// First predicts the time to the first event of a request with so many prompt
// tokens on an engine that already has outstanding requests, running or waiting.
func (e *Engine) First(outstanding, prompt int) time.Duration {
	slots := max(1, e.Slots())
	running := min(outstanding+1, slots)
	first := e.Read(prompt) + time.Duration(passesToFirst*float64(e.Pass(running)))
	// Others that have just arrived are read first; on average a share of the
	// running ones that reading takes of their whole time.
	first += e.Read(int(e.model.GetUsualPromptTokens())) * time.Duration(running) / time.Duration(slots)
	if waiting := outstanding - slots + 1; waiting > 0 {
		first += e.Turnover() * time.Duration(waiting)
	}
	return first
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
