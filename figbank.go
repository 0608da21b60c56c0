// Package figbank declares what all packages of the project share: types for ids and
// units, the interfaces between the parts of a process, and typed errors. The other
// packages contain the implementations.
package figbank

import (
	"context"
	"io"
	"strconv"
	"time"

	"figbank/schema"
)

// Megabit and Megabyte are sizes in bytes.
const (
	Megabit  Bytes = 1e6 / 8
	Megabyte Bytes = 1e6
)

type (
	// ProcessID names one figbank process in a deployment.
	ProcessID string
	// Address is a host and port on which a process listens.
	Address string
	// Region is a group of failure domains with low latency between them.
	Region string
	// FailureDomain is a group of hosts that operators take out of service together.
	FailureDomain string
	// Workspace is a customer. Fair queueing and permissions apply per workspace.
	Workspace string
	// ServiceName names a declared service.
	ServiceName string
	// UpstreamID names one back end. It is the process id of the back end's agent or, on a
	// platform, the id under which the back end announces itself.
	UpstreamID string
	// Incarnation identifies one run of an engine; it changes with every restart.
	Incarnation string
	// RequestID identifies one caller's request in every process that handles it.
	RequestID string
	// ManifestDigest identifies a version of weights: "sha256:" and 64 hex digits.
	ManifestDigest string
	// ChunkIndex is a chunk's position in its manifest.
	ChunkIndex uint32
	// CommitIndex is a position in the replicated log. It also serves as a fencing number.
	CommitIndex uint64
	// Term is an election term of the replicated log.
	Term uint64
	// Bytes is a size in bytes, or a rate in bytes per second.
	Bytes int64
	// RequestsPerSecond is a rate of requests.
	RequestsPerSecond float64
	// Cost is an amount of work, in cost units; see routing.CostOf.
	Cost int64
)

type (
	// Clock tells time. Code that only makes decisions takes the time as an argument. The
	// code that calls it reads the time from a Clock.
	Clock interface {
		// Now returns the current time.
		Now() time.Time
		// After returns a channel on which the time is sent once d has passed.
		After(d time.Duration) <-chan time.Time
		// Tick returns a channel on which the time is sent every d until stop is called.
		Tick(d time.Duration) (ticks <-chan time.Time, stop func())
	}

	// Caller is the other end of a call that carries no number. Such a call may be held up on its way,
	// while its caller gives it up, repeats it elsewhere and goes on with others.
	Caller interface {
		// Waits reports whether the caller still waits for the answer, as far as can be seen here.
		Waits() bool
	}

	// BootClock tells time that goes on while the host is suspended. Clock may stand still then.
	BootClock interface {
		// SinceBoot returns the time since the host started.
		SinceBoot() time.Duration
	}

	// Engine is a back end that runs a model. The interface of the real engine is not yet
	// known, so agents access their engine only through Engine. On a platform, the interface of
	// the engines is known, and agents use staging.Engine instead.
	Engine interface {
		// Status asks the engine for its version, incarnation and load.
		Status(ctx context.Context) (*schema.EngineStatus, error)
		// Load orders the engine to serve the weights in a folder. It returns once the
		// engine has accepted the order, before the weights are loaded.
		Load(ctx context.Context, order *schema.LoadOrder) error
		Service
	}

	// Service is a back end that answers HTTP requests.
	Service interface {
		// Call sends one request. A NotRunError proves that the request never reached the
		// back end. Any other error leaves open whether the request reached the back end.
		Call(ctx context.Context, request *ServiceRequest) (*ServiceAnswer, error)
	}

	// ServiceRequest is one HTTP request to a back end.
	ServiceRequest struct {
		ID      RequestID
		Method  string
		Path    string
		Headers []*schema.Header
		Body    []byte
		// Repeatable allows the HTTP client to send the request again by itself.
		Repeatable bool
	}

	// RulesInForce names the traffic rules in force as of a commit index.
	RulesInForce struct {
		Number      int64
		CommitIndex CommitIndex
	}

	// ServiceAnswer is a back end's response. The receiver must close Body.
	ServiceAnswer struct {
		Status  int
		Headers []*schema.Header
		Body    io.ReadCloser
		// Incarnation and Manifest are set if the back end reports them.
		Incarnation Incarnation
		Manifest    string
	}

	// Disk is a folder of files for durable state. Written bytes are durable only after
	// File.Sync.
	Disk interface {
		// Open opens a file for reading and appending. It creates a missing file.
		Open(name string) (File, error)
		// Rename renames oldName to newName and replaces any file named newName. The renaming
		// is durable only after SyncFolder.
		Rename(oldName, newName string) error
		// Remove deletes a file. A missing file is not an error.
		Remove(name string) error
		// SyncFolder makes the creation, renaming and removal of files durable.
		SyncFolder() error
	}

	// File is one open file of a Disk.
	File interface {
		io.Writer
		io.Closer
		// ReadAll returns the content of the whole file.
		ReadAll() ([]byte, error)
		// Truncate shortens the file to size bytes. Later writes append at the new end.
		Truncate(size int64) error
		// Sync makes all written bytes durable.
		Sync() error
	}

	// Recorder stores events for the timeline. It is safe for concurrent use.
	Recorder interface {
		// Record adds a stamp to an event and stores it.
		Record(event *schema.Event)
		// Stamp returns the current hybrid logical time, for outgoing messages.
		Stamp() *schema.Stamp
		// Observe advances the hybrid logical clock past a stamp received from another
		// process.
		Observe(stamp *schema.Stamp)
	}

	// Proposer proposes commands to the replicated log.
	Proposer interface {
		// Propose returns once the command is committed and applied. It returns a
		// NotAcceptedError if the command was certainly not accepted, and an
		// UnknownOutcomeError if it may have been accepted.
		Propose(ctx context.Context, command *schema.Command) (*schema.Result, error)
	}

	// UsageReceiver receives reports of usage.
	UsageReceiver interface {
		// Report sends the usage of a window with the fencing token of the duty. It returns a FailedAnswerError if the
		// receiver has answered that it does not accept the report now. After any other error it may have accepted it.
		Report(ctx context.Context, token uint64, usage *schema.WindowUsage) error
	}
)

// String returns the term as a decimal number.
func (t Term) String() string {
	return strconv.FormatUint(uint64(t), 10)
}
