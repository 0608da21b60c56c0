package control

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/fake"
	"figbank/feed"
	"figbank/schema"
)

// delayedLog is a log that a process reaches late: held runs before each of its commands.
type delayedLog struct {
	*fake.Proposer
	held func()
}

func (l delayedLog) Propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	l.held()
	return l.Proposer.Propose(ctx, command)
}

// replicaOf returns the control of a replica that knows what the log holds now.
func replicaOf(log *fake.Proposer, proposer figbank.Proposer) *Control {
	common := testCommon()
	holder := configuration.NewFleetHolder(common.Recorder)
	holder.Offer(log.Fleet())
	return New(common, proposer, feed.NewView(common, time.Minute, holder))
}

func evacuate(c *Control, withdraw bool, caller waiting) error {
	return c.Evacuate(context.Background(), "z", withdraw, caller)
}

// A failure domain is evacuated. The operator takes it back with a call that one replica holds up, gives
// that call up, has the same done by another replica, and evacuates the domain again. The call that was held
// up must not take effect, wherever it waited, and the domain must stay evacuated.
func TestHeldUpWithdrawalHasNoEffect(t *testing.T) {
	scenarios := []struct {
		name string
		// newer are the orders that another replica acknowledges while the call is held up, true for a
		// withdrawal.
		newer []bool
		// caller tells whether the caller is seen to wait when the call is read.
		caller        waiting
		wantErr       error
		wantEvacuated []string
	}{
		{name: "in time", caller: true},
		{name: "read after the caller has left", newer: []bool{true, false}, wantErr: figbank.CallerGoneError{}, wantEvacuated: []string{"z"}},
		{name: "read in time, proposed late", newer: []bool{true, false}, caller: true, wantErr: figbank.NotAcceptedError{}, wantEvacuated: []string{"z"}},
		{name: "proposed after the evacuation was confirmed", newer: []bool{false}, caller: true, wantErr: figbank.NotAcceptedError{}, wantEvacuated: []string{"z"}},
		{name: "proposed after the same order", newer: []bool{true}, caller: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			log := fake.NewProposer(clock.System{})
			if err := evacuate(replicaOf(log, log), false, true); err != nil {
				t.Fatalf("evacuating: %v", err)
			}
			slow := replicaOf(log, delayedLog{Proposer: log, held: func() {
				for _, withdraw := range s.newer {
					if err := evacuate(replicaOf(log, log), withdraw, true); err != nil {
						t.Fatalf("a newer order: %v", err)
					}
				}
			}})
			err := evacuate(slow, true, s.caller)
			if (err == nil) != (s.wantErr == nil) || errors.As(err, new(figbank.CallerGoneError)) != errors.As(s.wantErr, new(figbank.CallerGoneError)) {
				t.Errorf("the call that was held up is answered with %v, want %T", err, s.wantErr)
			}
			if got := log.Fleet().GetEvacuated(); !slices.Equal(got, s.wantEvacuated) {
				t.Errorf("evacuated = %v, want %v", got, s.wantEvacuated)
			}
		})
	}
}

// An operator repeats an order whose acknowledgement was lost, at replicas that know more or less. It must be
// acknowledged each time.
func TestRepeatedOrderIsAcknowledgedAgain(t *testing.T) {
	log := fake.NewProposer(clock.System{})
	behind := replicaOf(log, log)
	for range 2 {
		for _, c := range []*Control{replicaOf(log, log), behind} {
			if err := evacuate(c, false, true); err != nil {
				t.Errorf("the repeated order is answered with %v, want an acknowledgement", err)
			}
		}
	}
}

// A DELETE was held up until the next incarnation of the upstream has registered. Its caller is gone, so it
// must not end that incarnation.
func TestLeaveOfCallerThatLeftIsIgnored(t *testing.T) {
	view := newView()
	c := New(testCommon(), fake.NewProposer(clock.System{}), view)
	view.Announce(upstream(2, 1, ready))
	if err := c.Leave(context.Background(), "i", waiting(false)); !errors.As(err, new(figbank.CallerGoneError)) {
		t.Errorf("Leave() = %v, want CallerGoneError", err)
	}
	if got := view.Instance("i", "s").GetState(); got != ready {
		t.Errorf("the next incarnation is %v, want it ready", got)
	}
}
