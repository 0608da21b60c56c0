package replica

import (
	"testing"
	"time"

	"figbank"
)

// A replica that is asked to stop while it leads makes another one stand for election, and the log goes on.
func TestStoppingLeaderHandsTheLeadOver(t *testing.T) {
	all, client := newSupervised(t, []figbank.ProcessID{"a", "b", "c"})
	if err := nameVersion(client, 1, testTimeout); err != nil {
		t.Fatal(err)
	}
	for version := int64(2); version < 6; version++ {
		leader := leaderAfter(t, all, 0)
		term := leader.supervisor.Position().GetTerm()
		leader.supervisor.HandOver()
		leaderAfter(t, all, term)
		if err := nameVersion(client, version, testTimeout); err != nil {
			t.Errorf("Propose() after the lead was handed over = %v", err)
		}
	}
	all[0].supervisor.Close()
	all[0].supervisor.HandOver()
}

// leaderAfter waits for a replica that leads in a later term.
func leaderAfter(t *testing.T, all []*supervised, term uint64) *supervised {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, s := range all {
			if s.supervisor.IsLeader() && s.supervisor.Position().GetTerm() > term {
				return s
			}
		}
	}
	t.Fatal("no replica leads in a later term")
	return nil
}
