package app

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/configuration"
	"figbank/feed"
	"figbank/listener"
	"figbank/platform"
	"figbank/schema"
	"figbank/settings"
	"figbank/transport"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

const (
	// leaseAnnouncements is the length of an upstream's lease in announcement intervals. An
	// upstream counts as silent when its last announcement is older than the lease.
	leaseAnnouncements = 4
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 20 * time.Second
)

// platformOptions returns the options that all processes on a platform share.
func platformOptions(s *schema.PlatformSettings, role schema.MemberRole) fx.Option {
	return fx.Options(
		baseOptions(s.GetProcess()),
		fx.Decorate(func(Output) Output {
			return Output{Writer: NewBoundedWriter(os.Stdout, clock.System{}, int(s.GetNode().GetLogLinesPerSecond()))}
		}),
		fx.Supply(s, role),
		fx.Provide(newFleetHolder, transport.NewMeter, newPlatformPool, newView, newSubscriber),
		fx.Invoke(servePlatformMetrics, logStreamUsage),
	)
}

func newFleetHolder(common figbank.Common) *configuration.FleetHolder {
	return configuration.NewFleetHolder(common.Recorder)
}

func newView(common figbank.Common, s *schema.PlatformSettings, fleet *configuration.FleetHolder) *feed.View {
	view := feed.NewView(common, leaseAnnouncements*s.GetBounds().GetAnnounceInterval().AsDuration(), fleet)
	view.SetRegion(figbank.Region(s.GetProcess().GetRegion()))
	return view
}

func newSubscriber(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, role schema.MemberRole,
	view *feed.View, pool *transport.Pool,
) *feed.Subscriber {
	subscriber := feed.NewSubscriber(common, view, pool, memberOf(s, role), seedAddresses(s))
	lifecycle.Append(fx.StopHook(subscriber.Close))
	return subscriber
}

// memberOf describes this process to the other processes.
func memberOf(s *schema.PlatformSettings, role schema.MemberRole) *schema.Member {
	return &schema.Member{
		Id: s.GetProcess().GetId(), Role: role, Address: string(settings.ProcessAddress(s.GetProcess())),
		Region: s.GetProcess().GetRegion(), FailureDomain: s.GetProcess().GetFailureDomain(),
		Upstream: s.GetNode().GetUpstream(), Service: s.GetNode().GetService(),
	}
}

// seedAddresses returns the process addresses of the replicas at the seeds. It combines the host
// of each seed with this process's own port, as all processes are assumed to use the same port.
func seedAddresses(s *schema.PlatformSettings) []figbank.Address {
	_, port, _ := net.SplitHostPort(string(settings.ProcessAddress(s.GetProcess())))
	var seeds []figbank.Address
	for _, seed := range s.GetNode().GetSeeds() {
		host, _, _ := strings.Cut(seed, ":")
		seeds = append(seeds, figbank.Address(net.JoinHostPort(host, port)))
	}
	return seeds
}

// pages holds what a process shows over HTTP to those who run it.
type pages struct {
	fx.In

	Metrics metrics
	// Duties is nil except on replicas.
	Duties *dutyRecords `optional:"true"`
}

func servePlatformMetrics(lifecycle fx.Lifecycle, common figbank.Common, s *schema.PlatformSettings, shown pages) error {
	if s.GetNode().GetListenMetrics() == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", shown.Metrics.handler)
	if shown.Duties != nil {
		mux.Handle(platform.PathDuties, shown.Duties)
	}
	return serveHTTP(lifecycle, common, s.GetNode().GetListenMetrics(), mux)
}

// serveHTTP starts an HTTP server on address and returns. When the process stops, the server is
// closed and running requests are aborted.
func serveHTTP(lifecycle fx.Lifecycle, common figbank.Common, address string, handler http.Handler) error {
	accepting, err := listen(address)
	if err != nil {
		return err
	}
	server := newHTTPServer(handler)
	go func() { _ = server.Serve(listener.NewLasting(common, accepting)) }()
	lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

// watchSettings reads the settings file again on SIGHUP and whenever it has changed,
// and applies the new seeds. Changes of other settings need a restart.
func watchSettings(lifecycle fx.Lifecycle, common figbank.Common, file SettingsFile, subscriber *feed.Subscriber) {
	ctx, cancel := context.WithCancel(context.Background())
	reload := func(cause string) {
		s, err := settings.ReadPlatform(string(file))
		if err != nil {
			common.Log.Error("settings: reload failed, keeping the previous settings", zap.String("cause", cause), figbank.ErrorField(err))
			return
		}
		subscriber.SetSeeds(seedAddresses(s))
		common.Log.Info("settings: reloaded", zap.String("cause", cause), zap.Strings("seeds", s.GetNode().GetSeeds()))
	}
	go watchFile(ctx, common.Clock, string(file), reload)
	lifecycle.Append(fx.StopHook(cancel))
}

// SettingsFile is the path of the settings file.
type SettingsFile string
