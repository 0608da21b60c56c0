package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/fake"
	"figbank/feed"
	"figbank/schema"
	"figbank/traffic"
)

// lostLog is a log that no command reaches.
type lostLog struct{}

func (lostLog) Propose(ctx context.Context, _ *schema.Command) (*schema.Result, error) {
	<-ctx.Done()
	return nil, figbank.NotAcceptedError{Detail: "no leader of the log can be reached"}
}

// The log has no leader. An operator waits a second for a read and then asks another process; the answer
// that says so must come within that time, not once the operator has gone.
func TestReadOfALostLogIsAnsweredInTime(t *testing.T) {
	const patience = time.Second
	c := replicaOf(fake.NewProposer(clock.System{}), lostLog{})
	began := time.Now()
	_, err := c.Document(context.Background())
	if took := time.Since(began); took >= patience {
		t.Errorf("Document() took %v, want less than %v", took, patience)
	}
	if !errors.As(err, new(figbank.NotAcceptedError)) {
		t.Errorf("Document() = %v, want NotAcceptedError", err)
	}
}

// unchangedLog answers each read that what the reader holds is in force.
type unchangedLog struct{}

func (unchangedLog) Propose(context.Context, *schema.Command) (*schema.Result, error) {
	return &schema.Result{Unchanged: true}, nil
}

// A read must not be answered with rules that this process gets only while it asks the log.
func TestReadReturnsWhatWasHeldWhenItBegan(t *testing.T) {
	documents := []string{"first", "second"}
	held := func() (int64, []byte) {
		packed, err := traffic.Pack([]byte(documents[0]))
		if err != nil {
			t.Fatal(err)
		}
		documents = documents[1:]
		return 1, packed
	}
	c := New(testCommon(), unchangedLog{}, feed.NewView(testCommon(), time.Minute, configuration.NewFleetHolder(testCommon().Recorder)), WithHeld(held))
	got, err := c.Document(context.Background())
	if err != nil || string(got) != "first" {
		t.Errorf("Document() = %q, %v, want the rules held at the start", got, err)
	}
}
