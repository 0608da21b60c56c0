package replica

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"google.golang.org/protobuf/proto"
)

const (
	// attemptTimeout bounds one attempt at one replica.
	attemptTimeout = 2 * time.Second
	// retryDelay is the pause after all replicas have been tried once.
	retryDelay = 50 * time.Millisecond
	// hedgeDelay is how long an attempt may take before another replica is tried beside it.
	hedgeDelay = 200 * time.Millisecond
	// proposeTimeout bounds a whole proposal; an earlier deadline of the caller takes
	// precedence.
	proposeTimeout = 5 * time.Second
	// leaderPollInterval is how often an attempt at a leader checks whether another one is known.
	leaderPollInterval = 50 * time.Millisecond
)

type (
	// Client proposes commands to whichever replica leads. It repeats a command whose
	// answer was lost, which is safe since every command is idempotent. It is safe for
	// concurrent use.
	Client struct {
		common   figbank.Common
		pool     *transport.Pool
		replicas func() []Endpoint
		// observed returns the leader that this process knows from the log itself, or "".
		observed func() figbank.ProcessID
		// log returns the name of the log that is meant, or "".
		log      func() string
		leader   atomic.Value
		failures failureLog
		// hedging is the number of proposals that may ask several replicas at the moment.
		hedging atomic.Int32
	}

	// ClientOption configures a Client under construction.
	ClientOption func(*Client)

	// Endpoint is the address at which a replica listens.
	Endpoint struct {
		ID      figbank.ProcessID
		Address figbank.Address
	}
)

var _ figbank.Proposer = (*Client)(nil)

// WithLeader tells the client which replica leads, as far as this process knows from the log itself;
// observed returns "" if it does not know. A leader that is gone without a trace is thus left as
// soon as there is another.
func WithLeader(observed func() figbank.ProcessID) ClientOption {
	return func(c *Client) { c.observed = observed }
}

// WithLog tells the client the name of the log that its commands are for. Replicas of other logs refuse them.
func WithLog(log func() string) ClientOption {
	return func(c *Client) { c.log = log }
}

// NewClient returns a client of the replicas that the function replicas lists. The
// list may change between calls.
func NewClient(common figbank.Common, pool *transport.Pool, replicas func() []Endpoint, options ...ClientOption) *Client {
	c := &Client{
		common: common.Named("replica"), pool: pool, replicas: replicas,
		observed: func() figbank.ProcessID { return "" }, log: func() string { return "" },
	}
	c.leader.Store(figbank.ProcessID(""))
	for _, option := range options {
		option(c)
	}
	return c
}

// Propose returns the command's result once it is committed and applied. It tries the
// replicas until ctx ends or proposeTimeout has passed. Then it returns a
// NotAcceptedError if no replica can have accepted the command, and an
// UnknownOutcomeError otherwise. A command that cannot be encoded is an InvalidError at once.
func (c *Client) Propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.ForLog = c.log()
	if _, err := proto.Marshal(command); err != nil {
		// No replica could take it, however often it were sent.
		return nil, figbank.WrapError("replica", "Encode", figbank.InvalidError{Subject: "command", Detail: err.Error()})
	}
	r := newRace(ctx, c, command)
	result, unknown := r.run()
	if result != nil {
		return result, nil
	}
	c.failures.write(c.common, &r.tried, c.presumedLeader())
	return nil, c.proposeError(unknown)
}

// try sends the command to one replica. If answer has no result, maybeAccepted
// reports whether the command may have been accepted nevertheless.
func (c *Client) try(ctx context.Context, replica Endpoint, command *schema.Command) (answer *schema.ProposeAnswer, maybeAccepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if c.presumedLeader() == replica.ID {
		go c.cancelWhenReplaced(ctx, cancel, replica.ID)
	}
	answer = &schema.ProposeAnswer{}
	sent, err := c.pool.Call(ctx, replica.Address, schema.StreamKind_STREAM_KIND_PROPOSE, command, answer)
	if err != nil {
		return nil, sent, err
	}
	return answer, answer.GetUnknown(), nil
}

// cancelWhenReplaced calls cancel and returns when another replica is known to lead.
func (c *Client) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, leader figbank.ProcessID) {
	ticks, stop := c.common.Clock.Tick(leaderPollInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if observed := c.observed(); observed != "" && observed != leader {
			cancel()
			return
		}
	}
}

// presumedLeader returns the replica that leads as far as is known, or "".
func (c *Client) presumedLeader() figbank.ProcessID {
	if observed := c.observed(); observed != "" {
		return observed
	}
	leader, _ := c.leader.Load().(figbank.ProcessID)
	return leader
}

func (c *Client) updateLeader(answer *schema.ProposeAnswer) {
	if answer.GetLeader() != "" {
		c.leader.Store(figbank.ProcessID(answer.GetLeader()))
	}
}

// leaderFirst lists the replicas, the presumed leader first.
func (c *Client) leaderFirst() []Endpoint {
	leader := c.presumedLeader()
	ordered := slices.Clone(c.replicas())
	slices.SortStableFunc(ordered, func(a, b Endpoint) int {
		switch {
		case a.ID == leader && b.ID != leader:
			return -1
		case b.ID == leader && a.ID != leader:
			return 1
		}
		return 0
	})
	return ordered
}

func (c *Client) proposeError(unknown bool) error {
	if unknown {
		return figbank.WrapError("replica", "Unknown", figbank.UnknownOutcomeError{Detail: "no replica confirmed the command in time"})
	}
	return figbank.WrapError("replica", "NotAccepted", figbank.NotAcceptedError{Detail: "no leader of the log can be reached"})
}
