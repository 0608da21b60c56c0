package transfer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"figbank"
)

// A busy peer sends nothing, so its refusal must not reduce the rate at which other peers send.
func TestPacerChargesOnlyWhatArrives(t *testing.T) {
	const chunk, perSecond figbank.Bytes = 1000, 10_000
	tests := []struct {
		name string
		busy int
		want time.Duration
	}{
		{"no peer is busy", 0, 900 * time.Millisecond},
		{"every chunk refused once", 10, 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pacer := newPacer(perSecond)
				pacer.setBurst(chunk)
				began := time.Now()
				for i := range 10 {
					if err := pacer.wait(context.Background(), chunk); err != nil {
						t.Fatalf("wait: got error %v, want none", err)
					}
					if i >= test.busy {
						continue
					}
					pacer.refund(chunk)
					if err := pacer.wait(context.Background(), chunk); err != nil {
						t.Fatalf("second wait: got error %v, want none", err)
					}
				}
				if got := time.Since(began); got != test.want {
					t.Errorf("time for ten chunks: got %v, want %v", got, test.want)
				}
			})
		})
	}
}

func TestPacerCreditIsLimitedToOneBurst(t *testing.T) {
	pacer := newPacer(10_000)
	pacer.setBurst(1000)
	pacer.refund(1000)
	pacer.refund(1000)
	if got, want := pacer.takeCredit(5000), figbank.Bytes(1000); got != want {
		t.Errorf("credit after two refunds: got %d, want %d", got, want)
	}
}
