package replica

import (
	"context"
	"testing"
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// A replica of another deployment's log, with a higher term, took over a log that it learned of by a wrong seed, and
// what was acknowledged in that log was lost.
func TestReplicasOfAnotherLogAreIgnored(t *testing.T) {
	scenarios := []struct {
		name    string
		message *schema.RaftMessage
	}{
		{name: "an append", message: &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_APPEND}},
		{name: "a vote request", message: &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_VOTE, HandedOver: true, LogIndex: 100, LogTerm: 90}},
		{name: "an answer", message: &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_APPEND_ANSWER}},
		{name: "a snapshot", message: &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_SNAPSHOT, Snapshot: &schema.Snapshot{Index: 100, Term: 90}}},
	}
	all, client := newSupervised(t, []figbank.ProcessID{"a", "b", "c"})
	for i, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := nameVersion(client, int64(i)+1, testTimeout); err != nil {
				t.Fatal(err)
			}
			before := uint64(0)
			for _, r := range all {
				for deadline := time.Now().Add(testTimeout); r.supervisor.Position().GetCommit() == 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				before = max(before, r.supervisor.Position().GetTerm())
				message := proto.CloneOf(s.message)
				message.From, message.To, message.Term, message.Log = "stranger", string(r.id), 99, "another log"
				r.supervisor.current.Load().receive(context.Background(), message)
			}
			if err := nameVersion(client, int64(i)+2, testTimeout); err != nil {
				t.Errorf("Propose() afterwards = %v", err)
			}
			for _, r := range all {
				if got := r.supervisor.Position().GetTerm(); got >= 99 {
					t.Errorf("term of %s = %d, that of the stranger; it was at most %d", r.id, got, before)
				}
			}
		})
	}
}

// A command for one log must not get into another one, at whose replica an address leads by now.
func TestCommandsForAnotherLogAreRefused(t *testing.T) {
	all, client := newSupervised(t, []figbank.ProcessID{"a"})
	if err := nameVersion(client, 1, testTimeout); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer := all[0].supervisor.current.Load().propose(ctx, &schema.Command{
		ForLog: "another log", Action: &schema.Command_NameVersion{NameVersion: &schema.NameVersion{Model: "m", Version: 2}},
	})
	if !answer.GetNotLeader() || answer.GetResult() != nil {
		t.Errorf("propose() of a command for another log = %v, want a refusal", answer)
	}
}
