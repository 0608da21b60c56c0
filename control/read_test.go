package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/fake"
	"figbank/schema"
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
