package replica

import (
	"context"
	"testing"
	"time"

	"figbank/schema"
)

func readTraffic(held int64) *schema.Command {
	return &schema.Command{Action: &schema.Command_ReadTraffic{ReadTraffic: &schema.ReadTraffic{HeldNumber: held}}}
}

// The disks of all replicas refuse writes, and nothing is written but reads. Each read was an entry of the log,
// so it stopped the leader, and after it the next one.
func TestReadsNeedNoDisk(t *testing.T) {
	g := newCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := g.client.Propose(ctx, &schema.Command{Action: &schema.Command_PublishTraffic{PublishTraffic: &schema.PublishTraffic{
		Number: 7, PackedDocument: []byte("seven"),
	}}}); err != nil {
		t.Fatal(err)
	}
	// The slowest replica has stored the rules too.
	for _, m := range g.members {
		for m.replica.Document().Number != 7 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	for _, m := range g.members {
		m.disk.FailSyncs()
	}
	reads := []struct {
		name          string
		held          int64
		want          string
		wantUnchanged bool
	}{
		{name: "reader without rules", want: "seven"},
		{name: "reader with older rules", held: 6, want: "seven"},
		{name: "reader with the rules in force", held: 7, wantUnchanged: true},
	}
	for _, r := range reads {
		result, err := g.client.Propose(ctx, readTraffic(r.held))
		if err != nil {
			t.Fatalf("%s: Propose() = %v", r.name, err)
		}
		if got := string(result.GetPackedDocument()); got != r.want || result.GetUnchanged() != r.wantUnchanged {
			t.Errorf("%s: document %q, unchanged %v, want %q, %v", r.name, got, result.GetUnchanged(), r.want, r.wantUnchanged)
		}
	}
	for _, m := range g.members {
		select {
		case err := <-m.failed:
			t.Errorf("%s stopped: %v", m.id, err)
		default:
		}
	}
}
