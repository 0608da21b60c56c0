package claims

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/fake"
	"figbank/schema"
	"figbank/timeline"
)

func newClaims() (*Claims, *fake.Proposer) {
	proposer := fake.NewProposer(clock.System{})
	common := figbank.Common{
		Process: "g", Log: zap.NewNop(), Clock: clock.System{},
		Recorder: timeline.NewRecorder("g", clock.System{}, 1), Scope: tally.NoopScope,
	}
	return New(common, proposer), proposer
}

func claimOf(owner string) Claim {
	return Claim{Key: &schema.ClaimKey{Key: "k"}, Owner: figbank.RequestID(owner), Fingerprint: []byte("f")}
}

// TestOutcomesAreRecordedOnceTheLogIsAvailable reports how a request ended while the log is
// unavailable. Once the log is available again, another request claims the same key. It must get
// the recorded answer, permission to run, or a refusal, depending on how the first request ended.
func TestOutcomesAreRecordedOnceTheLogIsAvailable(t *testing.T) {
	answer := &schema.RecordedAnswer{Status: 200, Body: []byte("booked")}
	scenarios := []struct {
		name       string
		settle     func(*Claims, Claim)
		want       schema.Refusal
		wantAnswer bool
	}{
		{
			name: "answered",
			settle: func(c *Claims, claim Claim) {
				c.Settle(context.Background(), claim, schema.ClaimState_CLAIM_STATE_DONE, answer)
			},
			wantAnswer: true,
		},
		{
			name:   "not run",
			settle: func(c *Claims, claim Claim) { c.SettleFailed(context.Background(), claim, figbank.NotRunError{}) },
		},
		{
			name: "unknown",
			settle: func(c *Claims, claim Claim) {
				c.SettleFailed(context.Background(), claim, figbank.UnknownOutcomeError{})
			},
			want: schema.Refusal_REFUSAL_CLAIM_UNKNOWN,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, proposer := newClaims()
				defer c.Close(context.Background())
				claim := claimOf("first")
				if _, err := c.Reserve(context.Background(), claim); err != nil {
					t.Fatalf("Reserve() = %v", err)
				}
				proposer.SetDown(true)
				s.settle(c, claim)
				time.Sleep(time.Minute)
				proposer.SetDown(false)
				time.Sleep(time.Second)
				recorded, err := c.Reserve(context.Background(), claimOf("second"))
				var refused RefusedError
				if err != nil {
					refused, _ = err.(RefusedError) //nolint:errorlint // Reserve does not wrap it
				}
				if refused.Refusal != s.want || (recorded != nil) != s.wantAnswer {
					t.Errorf("Reserve() = %v, %v, want refusal %v, an answer: %t", recorded, err, s.want, s.wantAnswer)
				}
			})
		})
	}
}

// TestCloseEndsWithItsContext checks that Close returns when its context ends, although the log is
// unavailable and an outcome is not recorded.
func TestCloseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, proposer := newClaims()
		proposer.SetDown(true)
		c.SettleFailed(context.Background(), claimOf("first"), figbank.NotRunError{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		started := time.Now()
		c.Close(ctx)
		if got, want := time.Since(started), time.Second; got != want {
			t.Errorf("Close() took %v, want %v", got, want)
		}
	})
}

// TestBacklogIsBounded checks that the backlog drops outcomes beyond maxPending.
func TestBacklogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, proposer := newClaims()
		proposer.SetDown(true)
		for i := range maxPending + 10 {
			c.backlog.add(outcomeOf(claimOf(fmt.Sprint(i)), schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
		}
		if got := len(c.backlog.pending); got != maxPending {
			t.Errorf("outcomes waiting = %d, want %d", got, maxPending)
		}
		proposer.SetDown(false)
		c.Close(context.Background())
		if got := len(c.backlog.pending); got != 0 {
			t.Errorf("outcomes waiting after Close() = %d, want 0", got)
		}
	})
}
