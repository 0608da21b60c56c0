package dispatch

import (
	"context"
	"time"

	"figbank"
	"figbank/registry"
	"figbank/schema"
	"figbank/traffic"

	"go.uber.org/zap"
)

// follow builds a table at once and a new one after each change of the view, until ctx
// ends. It runs outside the request path.
func (d *Dispatcher) follow(ctx context.Context) {
	for {
		d.build()
		select {
		case <-ctx.Done():
			return
		case <-d.rebuild:
		}
	}
}

// build builds a new table from the view. Without traffic rules, or when they cannot be
// read, the table stays as it is.
func (d *Dispatcher) build() {
	fleet := d.view.Fleet()
	if fleet.GetTrafficNumber() == 0 {
		return
	}
	previous := d.table.Load()
	rules, err := d.rules(previous, fleet)
	if err != nil {
		d.common.Log.Error("cannot read traffic rules, keeping the previous ones", figbank.ErrorField(err))
		return
	}
	now := d.common.Clock.Now()
	d.recordNamed(fleet, now)
	listed := 0
	for _, member := range d.view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_GATEWAY {
			listed++
		}
	}
	gateways := d.gatewayCount.Update(now, listed, int(fleet.GetGateways()))
	if previous == nil || gateways != previous.gateways {
		d.common.Log.Info("gateways sharing the upstreams", zap.Int("gateways", gateways), zap.Int("listed", listed),
			zap.Int64("recorded", fleet.GetGateways()))
	}
	d.budgets.SetGateways(now, gateways, d.gatewayCount.SettledAt())
	upstreams := d.view.Upstreams(func(name figbank.ServiceName) bool { return rules.Service(name) != nil })
	next := NewTable(previous, d.settings.Location, Sources{
		Fleet: fleet, Traffic: rules, Upstreams: upstreams, Named: d.named, Gateways: gateways,
		SettledAt: d.gatewayCount.SettledAt(), Now: now,
	})
	d.table.Store(next)
	d.logServed(previous, next, upstreams)
	if previous == nil || previous.Traffic != rules {
		d.common.Log.Info("rules changed", zap.Int64("rules", rules.Number()), zap.Uint64("commit", fleet.GetCommitIndex()),
			zap.Strings("ranked", rules.RankedServices()))
	}
	if previous == nil || previous.Index != figbank.CommitIndex(fleet.GetCommitIndex()) {
		d.common.Log.Info("fleet state applied", zap.Uint64("commit", fleet.GetCommitIndex()), zap.Int64("rules", rules.Number()),
			zap.Strings("evacuated", fleet.GetEvacuated()))
	}
}

// logServed logs the services that have lost their last target or have one again, with how many of their upstreams are known.
func (d *Dispatcher) logServed(previous, next *Table, upstreams []registry.Upstream) {
	for _, service := range next.Traffic.Services() {
		name := figbank.ServiceName(service.GetName())
		served, servedBefore := len(next.Targets(name)) > 0, previous != nil && len(previous.Targets(name)) > 0
		if served == servedBefore {
			continue
		}
		known := 0
		for _, upstream := range upstreams {
			if upstream.Record.GetService() == service.GetName() {
				known++
			}
		}
		d.common.Log.Info("service has targets", zap.String("service", service.GetName()), zap.Int("targets", len(next.Targets(name))), zap.Int("known", known))
	}
}

// rules returns the compiled traffic rules. It reuses the previous ones while their
// number stays the same.
func (d *Dispatcher) rules(previous *Table, fleet *schema.Fleet) (*traffic.Table, error) {
	if previous != nil && previous.Traffic.Number() == fleet.GetTrafficNumber() {
		return previous.Traffic, nil
	}
	rules, err := traffic.UnpackRules(fleet.GetPackedTraffic())
	if err != nil {
		return nil, err
	}
	return traffic.NewTable(rules), nil
}

// recordNamed stores in d.named when an operator named each version, on this process's
// monotonic clock. It computes that time from the log's wall-clock time, since a gateway may
// learn of a version late, for instance after a restart. It computes the time only once per
// version, so that later jumps of the wall clock do not change it.
func (d *Dispatcher) recordNamed(fleet *schema.Fleet, now time.Time) {
	for _, named := range fleet.GetVersions() {
		version := Version{Model: named.GetModel(), Number: named.GetVersion()}
		if _, found := d.named[version]; !found {
			age := max(0, now.Round(0).Sub(time.Unix(0, named.GetNamedUnixNano())))
			d.named[version] = now.Add(-age)
			d.common.Log.Info("version named", zap.String("model", version.Model), zap.Int64("version", version.Number),
				zap.Duration("age", age))
		}
	}
}
