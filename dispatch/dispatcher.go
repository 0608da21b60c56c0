package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/crashers"
	"figbank/eventstream"
	"figbank/feed"
	"figbank/load"
	"figbank/memory"
	"figbank/placement"
	"figbank/refusals"
	"figbank/retry"

	"go.uber.org/zap"
)

const (
	// requestMemory is the memory that each request takes from the budget, whatever its answer is: a
	// usual head, the first answerShare bytes of the answer, and buffers of its connections.
	requestMemory figbank.Bytes = 24 << 10
	// memoryRetryAfter is the retry delay sent to callers whose request does not fit in the budget.
	memoryRetryAfter = time.Second
)

type (
	// Settings configure a dispatcher.
	Settings struct {
		Location Location
		// Retries bounds the retries that all gateways together send to each service.
		Retries retry.Allowance
		// HomeFirst makes requests stay in their failure domain while it serves them in time. LeaveCost is how much sooner an
		// answer must begin elsewhere, 0 for the default.
		HomeFirst bool
		LeaveCost time.Duration
		// Memory bounds what all requests together hold. nil means no bound.
		Memory *memory.Budget
		// Began is called once for each request of a workspace whose answer begins. It may be nil.
		Began func(workspace figbank.Workspace)
	}

	// Dispatcher sends requests to upstreams. It is safe for concurrent use.
	Dispatcher struct {
		common    figbank.Common
		settings  Settings
		transport Transport
		view      *feed.View
		table     atomic.Pointer[Table]
		budgets   *retry.Budgets
		crashers  *crashers.Set
		refusals  *refusals.Set
		// reserver is nil while this gateway shares no places with others.
		reserver atomic.Pointer[Reserver]
		// drifts maps a figbank.ServiceName to its *load.Drift.
		drifts sync.Map
		// aways maps a figbank.ServiceName to its *placement.Away.
		aways sync.Map
		// contests maps a figbank.ServiceName to its *placement.Contest.
		contests sync.Map
		rebuild  chan struct{}
		stop     context.CancelFunc
		group    sync.WaitGroup

		// named is the time at which each version was named, by this process's monotonic
		// clock. Only the follow goroutine uses it.
		named map[Version]time.Time
		// gatewayCount tracks how many gateways share the upstreams. Only the follow
		// goroutine uses it.
		gatewayCount load.GatewayCount
	}
)

// New returns a dispatcher that rebuilds its table whenever the view changes, until
// Close is called.
func New(common figbank.Common, settings Settings, transport Transport, view *feed.View) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		common: common.Named("dispatch"), settings: settings, transport: transport, view: view,
		budgets: retry.NewBudgets(settings.Retries, common.Clock.Now()), crashers: crashers.NewSet(),
		refusals: refusals.NewSet(),
		rebuild:  make(chan struct{}, 1), stop: stop,
		named: map[Version]time.Time{},
	}
	view.Watch(func() {
		select {
		case d.rebuild <- struct{}{}:
		default:
		}
	})
	d.group.Go(func() { d.follow(ctx) })
	return d
}

// Close stops rebuilding the table and waits for the goroutine that does so.
func (d *Dispatcher) Close() {
	d.stop()
	d.group.Wait()
}

// Table returns the current table of routes and upstreams. It is nil until the first
// traffic rules have arrived.
func (d *Dispatcher) Table() *Table {
	return d.table.Load()
}

// UseReserver makes the dispatcher reserve a place before it sends a request.
func (d *Dispatcher) UseReserver(reserver Reserver) {
	d.reserver.Store(&reserver)
}

// Crashers returns the requests that are suspected of crashing upstreams.
func (d *Dispatcher) Crashers() *crashers.Set {
	return d.crashers
}

// Refusals returns the requests that were refused for want of a place.
func (d *Dispatcher) Refusals() *refusals.Set {
	return d.refusals
}

// drift returns the drift of a service. The first call for a service creates it.
func (d *Dispatcher) drift(service figbank.ServiceName) *load.Drift {
	if known, found := d.drifts.Load(service); found {
		return known.(*load.Drift) //nolint:forcetypeassert // nothing else is stored
	}
	known, _ := d.drifts.LoadOrStore(service, &load.Drift{})
	return known.(*load.Drift) //nolint:forcetypeassert // nothing else is stored
}

// away returns what decides which requests of a service leave the failure domain. The first call for a service creates it.
func (d *Dispatcher) away(service figbank.ServiceName) *placement.Away {
	known, found := d.aways.Load(service)
	if !found {
		known, _ = d.aways.LoadOrStore(service, &placement.Away{})
	}
	return known.(*placement.Away) //nolint:forcetypeassert // nothing else is stored
}

// contest returns the contest for the engines of a service. The first call for a service creates it.
func (d *Dispatcher) contest(service figbank.ServiceName) *placement.Contest {
	if known, found := d.contests.Load(service); found {
		return known.(*placement.Contest) //nolint:forcetypeassert // nothing else is stored
	}
	known, _ := d.contests.LoadOrStore(service, placement.NewContest())
	return known.(*placement.Contest) //nolint:forcetypeassert // nothing else is stored
}

// Serve sends the request to an upstream and its answer to the response. It must not be
// called while Table returns nil. A nil error means that the whole answer was written to
// the response. NotRunError, and DeadlineError with NotSent set, prove that the request did
// not run and will not run; after any other error it may have run.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, response ResponseWriter) error {
	held := d.settings.Memory.Reserve(memory.Request, 0)
	defer held.Release()
	if !held.Grow(requestMemory) {
		return figbank.NotRunError{Reason: figbank.ReasonMemoryFull, RetryAfter: memoryRetryAfter}
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	d.budgets.For(request.Service).Deposit(d.common.Clock.Now())
	r := &run{
		Dispatcher: d, request: request, response: response, tried: map[figbank.UpstreamID]bool{}, lastEvent: request.LastEvent, order: eventstream.NewOrder(request.LastEvent),
		log:      d.common.Log.With(zap.String("request", string(request.ID))),
		identity: identityOf(request),
	}
	defer r.releaseFailed()
	err := r.serve(ctx)
	r.logFinished(err)
	return err
}
