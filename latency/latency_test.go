package latency

import (
	"testing"
	"time"

	"figbank/schema"
)

func testEngine() *Predictor {
	return NewPredictor(&schema.EngineModel{
		Slots: 16, Stride: 6, StepMilliseconds: 7.4, StepPerRequestMilliseconds: 0.0387,
		StepPerThousandTokensMilliseconds: 0.0203, ReadTokensPerSecond: 31900, ReadPairsMilliseconds: 0.733,
		UsualPromptTokens: 973, UsualAnswerTokens: 106,
	})
}

func TestTimeToFirstEvent(t *testing.T) {
	scenarios := []struct {
		name        string
		outstanding int
		prompt      int
		least, most time.Duration
	}{
		{name: "idle engine", outstanding: 0, prompt: 973, least: 90 * time.Millisecond, most: 120 * time.Millisecond},
		{name: "full engine, the request waits for a slot", outstanding: 16, prompt: 973, least: 190 * time.Millisecond, most: 300 * time.Millisecond},
		{name: "long prompt", outstanding: 0, prompt: 3880, least: 180 * time.Millisecond, most: 240 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := testEngine().TimeToFirstEvent(s.outstanding, s.prompt)
			if got < s.least || got > s.most {
				t.Errorf("TimeToFirstEvent(%d, %d) = %v, want %v to %v", s.outstanding, s.prompt, got, s.least, s.most)
			}
		})
	}
}

func TestTimeToFirstEventGrowsWithLoad(t *testing.T) {
	e := testEngine()
	for outstanding := range 40 {
		if a, b := e.TimeToFirstEvent(outstanding, 900), e.TimeToFirstEvent(outstanding+1, 900); b < a {
			t.Errorf("TimeToFirstEvent(%d) = %v is more than TimeToFirstEvent(%d) = %v", outstanding, a, outstanding+1, b)
		}
	}
}
