package ledger

import (
	"testing"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

func hold(holder string, token, renewals uint64) *schema.Command {
	return &schema.Command{Action: &schema.Command_HoldDuty{HoldDuty: &schema.HoldDuty{Subject: "usage", Holder: holder, SeenToken: token, SeenRenewals: renewals}}}
}

func fix(token uint64, window, requests int64) *schema.Command {
	return &schema.Command{Action: &schema.Command_FixUsage{FixUsage: &schema.FixUsage{Subject: "usage", Token: token, Usage: &schema.WindowUsage{
		Window: window, Workspaces: []*schema.WorkspaceUsage{{Workspace: "w", Requests: requests}},
	}}}}
}

func applyDuty(t *testing.T, s *State, command *schema.Command) *schema.Result {
	t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(&schema.Entry{Index: uint64(s.Applied()) + 1, Term: 1, Data: data})
}

func TestHoldDuty(t *testing.T) {
	scenarios := []struct {
		name         string
		command      *schema.Command
		wantHolder   string
		wantToken    uint64
		wantRenewals uint64
	}{
		{name: "first", command: hold("a", 0, 0), wantHolder: "a", wantToken: 1},
		{name: "repeated", command: hold("a", 0, 0), wantHolder: "a", wantToken: 1},
		{name: "taken by who has seen nothing", command: hold("b", 0, 0), wantHolder: "a", wantToken: 1},
		{name: "renewed", command: hold("a", 1, 0), wantHolder: "a", wantToken: 1, wantRenewals: 1},
		{name: "taken by who has not seen the renewal", command: hold("b", 1, 0), wantHolder: "a", wantToken: 1, wantRenewals: 1},
		{name: "taken", command: hold("b", 1, 1), wantHolder: "b", wantToken: 6},
		{name: "renewed too late", command: hold("a", 1, 1), wantHolder: "b", wantToken: 6},
	}
	s := NewState()
	for _, c := range scenarios {
		got := applyDuty(t, s, c.command).GetDuty()
		if got.GetHolder() != c.wantHolder || got.GetToken() != c.wantToken || got.GetRenewals() != c.wantRenewals {
			t.Errorf("%s: record = %v, want %s with token %d and %d renewals", c.name, got, c.wantHolder, c.wantToken, c.wantRenewals)
		}
	}
}

func TestFixUsage(t *testing.T) {
	s := NewState()
	applyDuty(t, s, hold("a", 0, 0))
	if got := applyDuty(t, s, fix(2, 10, 1)).GetRefusal(); got != schema.Refusal_REFUSAL_SUPERSEDED {
		t.Errorf("another token is answered with %v, want a refusal", got)
	}
	if got := applyDuty(t, s, fix(1, 10, 5)).GetUsage().GetWorkspaces()[0].GetRequests(); got != 5 {
		t.Errorf("%d requests are fixed, want 5", got)
	}
	// The state is the same on a replica that starts from a snapshot.
	snapshot, err := s.Snapshot(1)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	for _, state := range []*State{s, restored} {
		if records, _ := state.TakeDuties(); len(records) != 1 || records[0].GetToken() != 1 {
			t.Errorf("records = %v, want one with token 1", records)
		}
		if got := applyDuty(t, state, fix(1, 10, 6)).GetUsage().GetWorkspaces()[0].GetRequests(); got != 5 {
			t.Errorf("a second fix stores %d requests, want the first 5", got)
		}
		for window := range int64(maxUsageWindows) {
			applyDuty(t, state, fix(1, 11+window, 1))
		}
		if got := applyDuty(t, state, fix(1, 10, 6)).GetRefusal(); got != schema.Refusal_REFUSAL_STALE {
			t.Errorf("a window that is forgotten is answered with %v, want a refusal", got)
		}
		if got := len(state.usage); got != maxUsageWindows {
			t.Errorf("%d windows are stored, want %d", got, maxUsageWindows)
		}
	}
}
