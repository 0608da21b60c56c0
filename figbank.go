// Package figbank holds what all parts share: named ids and units, the
// interfaces between parts, and typed errors. It has no logic of its own;
// implementations live in the packages below it.
package figbank

import (
	"context"
	"io"
	"strconv"
	"time"

	"figbank/schema"
)

type (
	// ProcessID names one figbank process in a deployment.
	ProcessID string
	// Address is a host and port on which a process listens.
	Address string
	// Region is a group of failure domains with short links between them.
	Region string
	// FailureDomain is a group of hosts that operators take out together.
	FailureDomain string
	// Workspace is a customer: the unit of fairness and of permission.
	Workspace string
	// ServiceName names a declared service.
	ServiceName string
	// UpstreamID names one back end; it equals its agent's process id.
	UpstreamID string
	// Incarnation changes whenever an engine restarts.
	Incarnation string
	// RequestID names one caller's request on its whole way.
	RequestID string
	// ManifestDigest identifies a version of weights, as sha256: and 64 hex digits.
	ManifestDigest string
	// ChunkIndex is a chunk's position in its manifest.
	ChunkIndex uint32
	// CommitIndex is a position of the replicated log. It also serves as fencing number.
	CommitIndex uint64
	// Term counts elections of the replicated log.
	Term uint64
	// Bytes is a size.
	Bytes int64
	// Cost is an amount of work, in cost units; see routing.CostOf.
	Cost int64
)

type (
	// Clock tells time. Deciders take the time as an argument; drivers ask a Clock.
	Clock interface {
		// Now is the current time.
		Now() time.Time
		// After sends once when d has passed.
		After(d time.Duration) <-chan time.Time
		// Tick sends every d until stop is called.
		Tick(d time.Duration) (ticks <-chan time.Time, stop func())
	}

	// Engine is a back end that runs a model. The real engine's interface is not
	// yet known, so everything that talks to one goes through here.
	Engine interface {
		// Status asks the engine for its version, incarnation and load.
		Status(ctx context.Context) (*schema.EngineStatus, error)
		// Load orders the engine to serve the weights in a folder. It returns when
		// the engine has accepted the order, not when the weights are loaded.
		Load(ctx context.Context, order *schema.LoadOrder) error
		Service
	}

	// Service is a back end that answers HTTP calls.
	Service interface {
		// Call runs one request. An error of type NotRunError proves that the
		// request never reached the back end; any other error leaves that open.
		Call(ctx context.Context, request *ServiceRequest) (*ServiceAnswer, error)
	}

	// ServiceRequest is one call to a back end.
	ServiceRequest struct {
		ID      RequestID
		Method  string
		Path    string
		Headers []*schema.Header
		Body    []byte
		// Repeatable calls may be sent again by the connection's own machinery.
		Repeatable bool
	}

	// ServiceAnswer is a back end's answer. Body must be closed.
	ServiceAnswer struct {
		Status  int
		Headers []*schema.Header
		Body    io.ReadCloser
		// Incarnation and Manifest are set when the back end tells them.
		Incarnation Incarnation
		Manifest    string
	}

	// Disk is a folder of files for durable state. Nothing is durable before Sync.
	Disk interface {
		// Open opens a file for reading and appending, creating it if absent.
		Open(name string) (File, error)
		// Rename replaces newName by oldName; durable after SyncFolder.
		Rename(oldName, newName string) error
		// Remove deletes a file; a missing file is no error.
		Remove(name string) error
		// SyncFolder makes creations, renames and removals durable.
		SyncFolder() error
	}

	// File is one open file of a Disk.
	File interface {
		io.Writer
		io.Closer
		// ReadAll returns the whole content from the start.
		ReadAll() ([]byte, error)
		// Truncate cuts the file to size bytes; later writes go to its end.
		Truncate(size int64) error
		// Sync makes all that was written durable.
		Sync() error
	}

	// Recorder keeps events for the time line. It is safe for concurrent use.
	Recorder interface {
		// Record stamps an event and keeps it.
		Record(event *schema.Event)
		// Stamp returns the current hybrid logical time, for outgoing messages.
		Stamp() *schema.Stamp
		// Witness moves the clock past a stamp received from another process.
		Witness(stamp *schema.Stamp)
	}

	// Proposer gets a command accepted by the replicated log.
	Proposer interface {
		// Propose returns once the command is committed and applied. It fails with
		// NotAcceptedError when the command was certainly not accepted, and with
		// UnknownOutcomeError when it may or may not have been.
		Propose(ctx context.Context, command *schema.Command) (*schema.Result, error)
	}
)

// String prints the term's number.
func (t Term) String() string {
	return strconv.FormatUint(uint64(t), 10)
}
