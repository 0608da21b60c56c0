package fake

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/ledger"
	"figbank/schema"
)

// Proposer is an in-memory log with a single replica. It is safe for concurrent use.
type Proposer struct {
	mu    sync.Mutex
	state *ledger.State
	index uint64
	down  bool
	// resultsLost makes Propose apply commands and return an error instead of their result.
	resultsLost bool
	clock       figbank.Clock
}

var _ figbank.Proposer = (*Proposer)(nil)

// NewProposer returns a Proposer with an empty log.
func NewProposer(clock figbank.Clock) *Proposer {
	return &Proposer{state: ledger.NewState(), clock: clock}
}

// Configuration returns the configuration in force.
func (p *Proposer) Configuration() *schema.Configuration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Configuration()
}

// Fleet returns the fleet state in force.
func (p *Proposer) Fleet() *schema.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Fleet()
}

// TakeLeaves returns the upstreams whose leaves the log has stored since the last call.
func (p *Proposer) TakeLeaves() []*schema.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.TakeLeaves()
}

// SetDown makes the log refuse all commands, as a replica without a majority does.
func (p *Proposer) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetResultsLost makes the log apply commands without confirming them, as when the leader fails
// after it has committed a command and before it answers.
func (p *Proposer) SetResultsLost(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resultsLost = lost
}

// Propose applies a command and returns its result.
func (p *Proposer) Propose(_ context.Context, command *schema.Command) (*schema.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, figbank.NotAcceptedError{Detail: "no leader"}
	}
	command.TimeUnixNano = p.clock.Now().UnixNano()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, figbank.WrapError("fake", "Propose", err)
	}
	p.index++
	result := p.state.Apply(&schema.Entry{Index: p.index, Term: 1, Data: data})
	if p.resultsLost {
		return nil, figbank.UnknownOutcomeError{Detail: "no replica confirmed the command in time"}
	}
	return result, nil
}
