// Package control carries out requests of operators and upstreams. Traffic rules,
// evacuations and versions go through the replicated log; announcements go to the
// view, whose feeds distribute them.
package control

import (
	"context"
	"slices"
	"time"

	"figbank"
	"figbank/feed"
	"figbank/ledger"
	"figbank/registry"
	"figbank/schema"
	"figbank/traffic"

	"github.com/google/uuid"
	"go.uber.org/zap"
)

// answerTimeout bounds the time in the log for calls whose callers wait a second for an answer: leaves of
// upstreams and reads of operators.
const answerTimeout = 900 * time.Millisecond

type (
	// Control carries out requests of operators and upstreams. It is safe for
	// concurrent use.
	Control struct {
		common   figbank.Common
		proposer figbank.Proposer
		view     *feed.View
		leaves   *Leaves
		// held returns the number and the compressed text of the newest traffic rules that this process has.
		held    func() (number int64, packed []byte)
		unnamed unnamedLog
	}

	// Option changes a Control under construction.
	Option func(*Control)
)

// WithLeaves sets the record of what the log holds of leaves.
func WithLeaves(leaves *Leaves) Option {
	return func(c *Control) { c.leaves = leaves }
}

// WithHeld sets what returns the number and the compressed text of the newest traffic rules that this process
// has. The log then need not send them for a read.
func WithHeld(held func() (number int64, packed []byte)) Option {
	return func(c *Control) { c.held = held }
}

// New returns a Control that proposes its commands through proposer.
func New(common figbank.Common, proposer figbank.Proposer, view *feed.View, options ...Option) *Control {
	common = common.Named("control")
	c := &Control{common: common, proposer: proposer, view: view, leaves: NewLeaves(view), unnamed: unnamedLog{common: common}}
	c.held = func() (int64, []byte) { return 0, nil }
	for _, option := range options {
		option(c)
	}
	return c
}

// Announce merges an upstream's announcement into the view. If the upstream says that it leaves, Announce
// returns only once that is in the log. It returns an InvalidError if the announcement can't describe an
// upstream, and a NotAcceptedError if it says that an incarnation leaves that is not the known one.
func (c *Control) Announce(ctx context.Context, instance *schema.Instance) error {
	if err := registry.CheckInstance(c.common.Clock.Now(), instance); err != nil {
		return err
	}
	changed := c.view.Report(instance)
	known := c.view.Instance(figbank.UpstreamID(instance.GetId()), figbank.ServiceName(instance.GetService()))
	if changed {
		c.common.Log.Info("upstream changed", append(instanceFields(instance), zap.Uint64("renewals", known.GetRenewals()))...)
	}
	if !c.view.Names(figbank.ServiceName(instance.GetService())) {
		c.unnamed.note(instance)
	}
	if registry.IsLeave(instance.GetState()) && known.GetBornUnixMilli() != instance.GetBornUnixMilli() {
		return figbank.NotAcceptedError{Detail: "another incarnation of the upstream is known, which may be a later one"}
	}
	return c.recordLeave(ctx, known)
}

// Leave records in the view that the current incarnation of an upstream leaves for good, and returns once
// that is in the log. Gateways that this process feeds hear of it at once, also while the log accepts
// nothing. It returns a NotAcceptedError if this process does not know the upstream, since other
// processes may, a CallerGoneError if the caller has given up, since the call may come from an earlier
// incarnation, and an InvalidError if no upstream can have the id.
func (c *Control) Leave(ctx context.Context, id figbank.UpstreamID, caller figbank.Caller) error {
	if !figbank.IsName(string(id)) {
		return invalidName("upstream")
	}
	records := c.view.Instances(id)
	if !caller.Waits() {
		return figbank.CallerGoneError{}
	}
	if len(records) == 0 {
		return figbank.NotAcceptedError{Detail: "this replica does not know upstream " + string(id)}
	}
	for i, record := range records {
		records[i] = c.view.Leave(record)
	}
	for _, record := range c.mustRecord(records) {
		if err := c.recordLeave(ctx, record); err != nil {
			return err
		}
	}
	return nil
}

// mustRecord returns those records of one id whose leave the log has to hold: those of services that the rules name, and all if
// there are none, since their service may be named later.
func (c *Control) mustRecord(records []*schema.Instance) []*schema.Instance {
	named := slices.DeleteFunc(slices.Clone(records), func(record *schema.Instance) bool {
		return !c.view.Names(figbank.ServiceName(record.GetService()))
	})
	if len(named) == 0 {
		return records
	}
	return named
}

// recordLeave puts the leave of an upstream into the log, unless it is there or the upstream does not
// leave. Without that, what was acknowledged would be lost with this process.
func (c *Control) recordLeave(ctx context.Context, record *schema.Instance) error {
	if !registry.IsLeave(record.GetState()) || c.leaves.recorded(record) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, err := c.propose(ctx, &schema.Command{Action: &schema.Command_Leave{Leave: &schema.Leave{Upstream: record}}})
	return err
}

// Publish checks traffic rules and puts them in force. If the rules in force have the same or a higher
// number, it changes nothing and returns those. document is the source text of the rules.
func (c *Control) Publish(ctx context.Context, rules *schema.Traffic, document []byte) (figbank.RulesInForce, error) {
	if err := traffic.Check(rules); err != nil {
		return figbank.RulesInForce{}, err
	}
	packedRules, err := traffic.PackRules(rules)
	if err != nil {
		return figbank.RulesInForce{}, err
	}
	packedDocument, err := traffic.Pack(document)
	if err != nil {
		return figbank.RulesInForce{}, err
	}
	result, err := c.propose(ctx, &schema.Command{Action: &schema.Command_PublishTraffic{PublishTraffic: &schema.PublishTraffic{
		Number: rules.GetNumber(), PackedTraffic: packedRules, PackedDocument: packedDocument,
	}}})
	if err != nil {
		return figbank.RulesInForce{}, err
	}
	inForce := figbank.RulesInForce{Number: result.GetTrafficNumber(), CommitIndex: figbank.CommitIndex(result.GetCommitIndex())}
	if inForce.Number != rules.GetNumber() || result.GetOtherContent() {
		c.common.Log.Warn("publication has no effect", zap.Int64("number", rules.GetNumber()), zap.Int64("inForce", inForce.Number),
			zap.Uint64("commit", uint64(inForce.CommitIndex)), zap.Bool("otherContent", result.GetOtherContent()))
	}
	return inForce, nil
}

// Document returns the source text of the rules in force, or nil if there are none yet. The leader of the
// log confirms the read, so the result reflects all rules that were accepted before the call. Document
// returns an error if the log does not answer within answerTimeout: another process may reach it.
func (c *Control) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	number, packed := c.held()
	result, err := c.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_ReadTraffic{ReadTraffic: &schema.ReadTraffic{HeldNumber: number}}})
	if err != nil {
		return nil, err
	}
	if !result.GetUnchanged() {
		packed = result.GetPackedDocument()
	}
	if len(packed) == 0 {
		return nil, nil
	}
	return traffic.Unpack(packed)
}

// Evacuate takes a failure domain out of service, or puts it back if withdraw is set. It returns a
// CallerGoneError if the caller has given up, and a NotAcceptedError if a newer order was accepted after
// the call came in. The newest order is looked up before the caller is: whatever delays the command after
// that, in this process, on its way or at the leader, the log compares the two. It returns an InvalidError if no
// failure domain can have the name.
func (c *Control) Evacuate(ctx context.Context, domain figbank.FailureDomain, withdraw bool, caller figbank.Caller) error {
	if !figbank.IsName(string(domain)) {
		return invalidName("failure domain")
	}
	newest := ledger.LastEvacuationOrder(c.view.Fleet(), string(domain))
	if !caller.Waits() {
		return figbank.CallerGoneError{}
	}
	_, err := c.propose(ctx, &schema.Command{Action: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{
		FailureDomain: string(domain), Withdraw: withdraw, Order: uuid.NewString(), Follows: &newest,
	}}})
	return err
}

// NameVersion sets the version of the weights that a model's upstreams should serve. A
// version that is not newer than the newest named one changes nothing. It returns an InvalidError if no model
// can have the name.
func (c *Control) NameVersion(ctx context.Context, model string, version int64) error {
	if !figbank.IsName(model) {
		return invalidName("model")
	}
	_, err := c.propose(ctx, &schema.Command{Action: &schema.Command_NameVersion{NameVersion: &schema.NameVersion{
		Model: model, Version: version,
	}}})
	return err
}

func invalidName(subject string) error {
	return figbank.InvalidError{Subject: subject, Detail: "the name is missing, too long or no text"}
}

// propose proposes a command and returns its result. It returns a NotAcceptedError if the log refused it
// because of a newer one, and an InvalidError if the log refused it for another reason.
func (c *Control) propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	result, err := c.proposer.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	switch result.GetRefusal() {
	case schema.Refusal_REFUSAL_NONE:
		return result, nil
	case schema.Refusal_REFUSAL_SUPERSEDED:
		return nil, figbank.NotAcceptedError{Detail: result.GetDetail()}
	default:
		return nil, figbank.InvalidError{Subject: "command", Detail: result.GetDetail()}
	}
}
