package replica

import (
	"context"
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/fake"
	"figbank/raft"
	"figbank/schema"
	"figbank/transport"

	"google.golang.org/protobuf/proto"
)

// A disk fails every sync for a while, as a full disk may. No command is accepted
// meanwhile. Afterwards the replica accepts commands again, and no accepted command is
// lost, even in a crash that discards unsynced writes.
func TestReplicaReopensAfterDiskFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := figbank.Address(listener.Addr().String())
	disk := fake.NewDisk()
	pool := transport.NewPool(common("r"))
	t.Cleanup(pool.Close)
	fleets := make(chan *schema.Fleet, 64)
	supervisor, err := NewSupervisor(common("r"), func(failed func(error), afterFailure bool) (*Replica, error) {
		return NewReplica(common("r"), Settings{
			Timing:          raft.Timing{ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond},
			SnapshotEntries: 50, RewriteLog: afterFailure, Address: address, Voters: map[figbank.ProcessID]figbank.Address{"r": address},
		}, disk, pool, WithFailure(failed), WithFleet(func(f *schema.Fleet) { fleets <- f }))
	})
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(common("r"), listener, transport.Handlers{
		schema.StreamKind_STREAM_KIND_RAFT: supervisor.ServeRaft, schema.StreamKind_STREAM_KIND_PROPOSE: supervisor.ServePropose,
	})
	t.Cleanup(func() {
		supervisor.Close()
		server.Close()
	})
	client := NewClient(common("client"), pool, func() []Endpoint { return []Endpoint{{ID: "r", Address: address}} })
	nameVersion := func(version int64, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := client.Propose(ctx, &schema.Command{Action: &schema.Command_NameVersion{
			NameVersion: &schema.NameVersion{Model: "m", Version: version},
		}})
		return err
	}
	if err := nameVersion(1, testTimeout); err != nil {
		t.Fatalf("Propose() on a working disk = %v", err)
	}
	disk.FailSyncs()
	if err := nameVersion(2, time.Second); err == nil {
		t.Error("Propose() while every sync fails = nil, want an error")
	}
	disk.HealSyncs()
	if err := nameVersion(3, testTimeout); err != nil {
		t.Fatalf("Propose() after the disk works again = %v", err)
	}
	supervisor.Close()
	disk.Crash(0)
	reopened, err := NewReplica(common("r"), Settings{
		Timing:          raft.Timing{ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond},
		SnapshotEntries: 50, Voters: map[figbank.ProcessID]figbank.Address{"r": address},
	}, disk, pool, WithFleet(func(f *schema.Fleet) { fleets <- f }))
	if err != nil {
		t.Fatalf("NewReplica() after the crash = %v", err)
	}
	defer reopened.Close()
	want := int64(3)
	for deadline := time.After(testTimeout); ; {
		select {
		case fleet := <-fleets:
			versions := fleet.GetVersions()
			if len(versions) > 0 && versions[len(versions)-1].GetVersion() == want {
				if got := versions[0].GetVersion(); got != 1 {
					t.Errorf("oldest version = %d, want 1: %v", got, proto.CloneOf(fleet))
				}
				return
			}
		case <-deadline:
			t.Fatalf("version %d is missing after the crash", want)
		}
	}
}
