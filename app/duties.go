package app

import (
	"context"
	"net/http"
	"sync"

	"figbank"
	"figbank/clock"
	"figbank/duty"
	"figbank/feed"
	"figbank/metering"
	"figbank/platform"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"
)

// dutyRecords passes the records of duties from the log, which starts first, to whoever carries the duties out.
type dutyRecords struct {
	mu      sync.Mutex
	newest  []*schema.DutyRecord
	observe func([]*schema.DutyRecord)
}

func newDutyRecords() *dutyRecords {
	return &dutyRecords{observe: func([]*schema.DutyRecord) {}}
}

func (d *dutyRecords) publish(records []*schema.DutyRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newest = records
	d.observe(records)
}

// ServeHTTP answers with the records of all duties as this replica has applied them.
func (d *dutyRecords) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	status := &schema.DutyStatus{Duties: d.newest}
	d.mu.Unlock()
	content, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

func (d *dutyRecords) follow(observe func([]*schema.DutyRecord)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe = observe
	observe(d.newest)
}

// usageIsReported reports whether this deployment has to report its usage.
func usageIsReported(s *schema.PlatformSettings) bool {
	return s.GetDuties().GetReceiver() != "" && platform.ReportsUsage(s.GetDuties().GetAssigned())
}

// newUsageCounter returns the counter of a gateway's requests, nil if usage is not reported.
func newUsageCounter(common figbank.Common, s *schema.PlatformSettings) *metering.Counter {
	if !usageIsReported(s) {
		return nil
	}
	wall := metering.NewWallTime(common.Clock, clock.System{}, s.GetDuties().GetUsageWindow().AsDuration())
	return metering.NewCounter(common, wall, s.GetDuties().GetUsageDue().AsDuration())
}

// reportUsage reports the usage of the deployment while this replica holds the duty.
func reportUsage(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, proposer figbank.Proposer, view *feed.View,
	pool *transport.Pool, r logReplica, records *dutyRecords,
) {
	duties := s.GetDuties()
	common.Log.Info("duties", zap.String("receiver", duties.GetReceiver()), zap.Strings("assigned", duties.GetAssigned()), zap.Bool("usage", usageIsReported(s)))
	if !usageIsReported(s) {
		return
	}
	terms := duty.Terms{Length: duties.GetLeaseTime().AsDuration(), TakeoverDelay: duties.GetTakeoverDelay().AsDuration()}
	holder := duty.NewHolder(common, clock.System{}, proposer, terms, metering.Subject, r.IsLeader)
	records.follow(holder.Observe)
	reporter := metering.NewReporter(common, metering.Settings{
		CallTime: terms.CallTime(),
		Due:      duties.GetUsageDue().AsDuration(),
		Gateways: func() []*schema.Member { return gatewaysOf(view) },
	}, clock.System{}, metering.NewWallTime(common.Clock, clock.System{}, duties.GetUsageWindow().AsDuration()), holder, proposer,
		platform.NewUsageReceiver(figbank.Address(duties.GetReceiver()), figbank.ProcessID(s.GetProcess().GetId())), pool)
	ctx, cancel := context.WithCancel(context.Background())
	go holder.Run(ctx)
	go reporter.Run(ctx)
	lifecycle.Append(fx.StopHook(cancel))
}

// gatewaysOf returns the gateways that run now.
func gatewaysOf(view *feed.View) []*schema.Member {
	var gateways []*schema.Member
	for _, member := range view.CurrentMembers() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_GATEWAY {
			gateways = append(gateways, member)
		}
	}
	return gateways
}
