package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/crashers"
	"figbank/feed"
	"figbank/retry"

	"go.uber.org/zap"
)

type (
	// Settings of a dispatcher.
	Settings struct {
		Place Place
		// Retries is what all gateways together may retry.
		Retries retry.Allowance
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
		// drifts maps each service's name to its drift.
		drifts  sync.Map
		rebuild chan struct{}
		stop    context.CancelFunc
		group   sync.WaitGroup

		// named is when each version was named, by this process's steady clock.
		named map[Version]time.Time
		// gatewayCount is how many gateways share the upstreams.
		gatewayCount gatewayCount
	}
)

// New returns a dispatcher that follows the view until Close.
func New(common figbank.Common, settings Settings, transport Transport, view *feed.View) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		common: common.For("dispatch"), settings: settings, transport: transport, view: view,
		budgets: retry.NewBudgets(settings.Retries), crashers: crashers.NewSet(),
		rebuild: make(chan struct{}, 1), stop: stop,
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

// Close stops following the view.
func (d *Dispatcher) Close() {
	d.stop()
	d.group.Wait()
}

// Table is the present view of routes and upstreams, nil before the first
// traffic rules.
func (d *Dispatcher) Table() *Table {
	return d.table.Load()
}

// Crashers are the requests that are suspected of crashing upstreams.
func (d *Dispatcher) Crashers() *crashers.Set {
	return d.crashers
}

func (d *Dispatcher) drift(service figbank.ServiceName) *drift {
	if known, found := d.drifts.Load(service); found {
		return known.(*drift) //nolint:forcetypeassert // nothing else is stored
	}
	known, _ := d.drifts.LoadOrStore(service, &drift{})
	return known.(*drift) //nolint:forcetypeassert // nothing else is stored
}

// Serve carries the request to an upstream. A nil error means that the whole
// answer has gone into the reply. NotRunError proves that the request has not
// run and will not; after any other error it may have.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, reply Reply) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	d.budgets.For(request.Service).Deposit()
	r := &run{
		Dispatcher: d, request: request, reply: reply, tried: map[figbank.UpstreamID]bool{}, lastEvent: request.LastEvent,
		log:         d.common.Log.With(zap.String("request", string(request.ID))),
		fingerprint: fingerprintOf(request),
	}
	err := r.serve(ctx)
	r.finished(err)
	return err
}
