// Package app assembles the parts of each kind of process into an fx application.
package app

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/httpserver"
	"figbank/schema"
	"figbank/timeline"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// stopTimeout bounds a graceful shutdown. It is long because callers may read their
	// answers slowly.
	stopTimeout     = 10 * time.Minute
	metricsInterval = time.Second
	headerTimeout   = 10 * time.Second
	maxHeader       = 64 << 10
)

type (
	// Output is the destination of log lines.
	Output struct {
		io.Writer
	}

	// metrics holds the scope that collects metrics and the handler that serves them.
	metrics struct {
		scope   tally.Scope
		handler http.Handler
	}
)

// baseOptions returns the options that all processes share: logger, metrics, event
// recorder and the stop timeout.
func baseOptions(process *schema.ProcessSettings) fx.Option {
	return fx.Options(
		fx.Supply(process, Output{Writer: os.Stderr}),
		fx.Provide(newLogger, newMetrics, newRecorder, newCommon),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
	)
}

func newLogger(process *schema.ProcessSettings, output Output) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(process.GetLogLevel())
	if err != nil {
		return nil, figbank.WrapError("app", "LogLevel", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if process.GetLogFormat() != "Json" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	core := zapcore.NewCore(encoder, zapcore.AddSync(output), level)
	return zap.New(core).With(zap.String("process", process.GetId())), nil
}

func newMetrics(lifecycle fx.Lifecycle) metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: prom.NewRegistry(), DefaultTimerType: prometheus.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "figbank", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	lifecycle.Append(fx.StopHook(closer.Close))
	return metrics{scope: scope, handler: reporter.HTTPHandler()}
}

func newRecorder(process *schema.ProcessSettings) *timeline.Recorder {
	return timeline.NewRecorder(figbank.ProcessID(process.GetId()), clock.System{}, int(process.GetTimelineEvents()))
}

func newCommon(process *schema.ProcessSettings, log *zap.Logger, m metrics, recorder *timeline.Recorder) figbank.Common {
	return figbank.Common{
		Process: figbank.ProcessID(process.GetId()), Log: log, Clock: clock.System{},
		Recorder: recorder, Scope: m.scope,
	}
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address) //nolint:noctx // listens for the life of the process
	return listener, figbank.WrapError("app", "Listen", err, "address", address)
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: httpserver.LimitUnreadBodies(clock.System{}, handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnContext: httpserver.WithConn,
	}
}
