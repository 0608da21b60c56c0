// Package ledger is the state machine of the replicated log. Its state holds the
// declarations in force, idempotency claims, rollout grants, traffic rules, evacuations,
// named versions, the gateway count, the leaves of upstreams, the holders of duties and the usage to report. It is deterministic: the same entries lead to the
// same state on every replica.
package ledger

import (
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

type (
	// State is the state after the last applied entry. It is not safe for concurrent
	// use. The configurations and fleets that it returns are immutable.
	State struct {
		applied uint64
		// now is the latest time of any applied command.
		now           time.Time
		configuration *schema.Configuration
		claims        map[claimKey]*schema.ClaimRecord
		// claimOrder holds the keys of claims in the order in which they were first claimed.
		claimOrder []claimKey
		grants     map[grantKey]*schema.GrantRecord
		fleet      *schema.Fleet
		// document is the compressed source text of the fleet's traffic rules.
		document []byte
		// orders holds the ids of the latest evacuations and withdrawals, oldest first.
		orders []string
		// leaves holds the latest leaves of upstreams, oldest first. newLeaves holds those that
		// TakeLeaves has not returned.
		leaves    []*schema.LeaveRecord
		newLeaves []*schema.Instance
		// named are the services of the rules in force, read when leaves are forgotten.
		named namedServices
		// duties holds who carries out each duty, by subject. dutiesChanged is set if one has changed since
		// TakeDuties was called.
		duties        []*schema.DutyRecord
		dutiesChanged bool
		// usage holds the latest windows whose usage is fixed, by window.
		usage []*schema.WindowUsage
	}

	claimKey struct {
		workspace, service, key string
	}

	grantKey struct {
		service, upstream string
	}
)

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		now:           time.Unix(0, 0),
		configuration: &schema.Configuration{},
		claims:        map[claimKey]*schema.ClaimRecord{},
		grants:        map[grantKey]*schema.GrantRecord{},
		fleet:         &schema.Fleet{},
	}
}

// Restore returns the state in a snapshot, or the initial state if there is none.
func Restore(snapshot *schema.Snapshot) (*State, error) {
	s := NewState()
	if snapshot == nil {
		return s, nil
	}
	var stored schema.LedgerState
	if err := proto.Unmarshal(snapshot.GetState(), &stored); err != nil {
		return nil, figbank.WrapError("ledger", "Restore", figbank.CorruptError{Subject: "snapshot", Detail: err.Error()})
	}
	s.applied = stored.GetAppliedIndex()
	s.now = time.Unix(0, stored.GetTimeUnixNano())
	if stored.GetConfiguration() != nil {
		s.configuration = stored.GetConfiguration()
	}
	if stored.GetFleet() != nil {
		s.fleet = stored.GetFleet().GetFleet()
		s.document = stored.GetFleet().GetPackedDocument()
		s.orders = stored.GetFleet().GetOrders()
		s.leaves = stored.GetFleet().GetLeaves()
		for _, record := range s.leaves {
			s.newLeaves = append(s.newLeaves, record.GetUpstream())
		}
	}
	s.duties, s.usage = stored.GetDuties(), stored.GetUsage()
	s.dutiesChanged = len(s.duties) > 0
	for _, record := range stored.GetClaims() {
		s.putClaim(record)
	}
	for _, record := range stored.GetGrants() {
		s.grants[grantKeyOf(record.GetGrant().GetService(), record.GetGrant().GetUpstream())] = record
	}
	return s, nil
}

// Snapshot returns a snapshot of the state, without the log's membership, which the
// caller adds. term must be the term of the last applied entry.
func (s *State) Snapshot(term uint64) (*schema.Snapshot, error) {
	stored := &schema.LedgerState{
		AppliedIndex:  s.applied,
		TimeUnixNano:  s.now.UnixNano(),
		Configuration: s.configuration,
		Fleet:         &schema.FleetRecord{Fleet: s.fleet, PackedDocument: s.document, Orders: s.orders, Leaves: s.leaves},
		Duties:        s.duties,
		Usage:         s.usage,
	}
	for _, key := range s.claimOrder {
		stored.Claims = append(stored.Claims, s.claims[key])
	}
	for _, record := range s.grants {
		stored.Grants = append(stored.Grants, record)
	}
	state, err := proto.Marshal(stored)
	if err != nil {
		return nil, figbank.WrapError("ledger", "Snapshot", err)
	}
	return &schema.Snapshot{Index: s.applied, Term: term, State: state}, nil
}

// Applied returns the index of the last applied entry.
func (s *State) Applied() figbank.CommitIndex {
	return figbank.CommitIndex(s.applied)
}

// Configuration returns the declarations in force.
func (s *State) Configuration() *schema.Configuration {
	return s.configuration
}

// Fleet returns the traffic rules, evacuations, named versions and gateway count in
// force.
func (s *State) Fleet() *schema.Fleet {
	return s.fleet
}

// Apply applies the next entry. The result is nil for an entry without data, such as
// the first entry of a leader or a change of the log's membership.
func (s *State) Apply(entry *schema.Entry) *schema.Result {
	s.applied = entry.GetIndex()
	if len(entry.GetData()) == 0 {
		return nil
	}
	var command schema.Command
	if err := proto.Unmarshal(entry.GetData(), &command); err != nil {
		return refuse(schema.Refusal_REFUSAL_INVALID, "command cannot be read")
	}
	s.advanceTime(&command)
	switch action := command.GetAction().(type) {
	case *schema.Command_Publish:
		return s.publish(action.Publish)
	case *schema.Command_Claim:
		return s.claim(action.Claim)
	case *schema.Command_Settle:
		return s.settle(action.Settle)
	case *schema.Command_Grant:
		return s.grant(action.Grant)
	case *schema.Command_Release:
		return s.release(action.Release)
	}
	return s.applyFleet(&command)
}

// applyFleet applies the commands that concern the fleet.
func (s *State) applyFleet(command *schema.Command) *schema.Result {
	switch action := command.GetAction().(type) {
	case *schema.Command_PublishTraffic:
		return s.publishTraffic(action.PublishTraffic)
	case *schema.Command_Evacuate:
		return s.evacuate(action.Evacuate)
	case *schema.Command_NameVersion:
		return s.nameVersion(action.NameVersion)
	case *schema.Command_CountGateways:
		return s.countGateways(action.CountGateways)
	case *schema.Command_ReadTraffic:
		return s.ReadTraffic(action.ReadTraffic)
	case *schema.Command_Leave:
		return s.leave(action.Leave)
	case *schema.Command_Found:
		return s.found(action.Found)
	case *schema.Command_HoldDuty:
		return s.holdDuty(action.HoldDuty)
	case *schema.Command_FixUsage:
		return s.fixUsage(action.FixUsage)
	}
	return refuse(schema.Refusal_REFUSAL_INVALID, "command of unknown kind")
}

// advanceTime sets the time to that at which the leader appended the command. It never sets the
// time back. It also removes expired claims.
func (s *State) advanceTime(command *schema.Command) {
	at := time.Unix(0, command.GetTimeUnixNano())
	if at.After(s.now) {
		s.now = at
	}
	s.expireClaims()
}

func refuse(refusal schema.Refusal, detail string) *schema.Result {
	return &schema.Result{Refusal: refusal, Detail: detail}
}
