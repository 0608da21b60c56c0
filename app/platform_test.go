package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"

	"figbank/schema"
	"figbank/settings"
)

// freePort returns a loopback port that was free when it was checked.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address, _ := listener.Addr().(*net.TCPAddr)
	return address.Port
}

func TestReplicaServesMetricsAndRefusesReadsWithoutALog(t *testing.T) {
	metrics, control := freePort(t), freePort(t)
	text := fmt.Sprintf(`[Process]
Id = core
Region = r
FailureDomain = z
ListenProcesses = 127.0.0.1:%d
DataFolder = %s
LogLevel = Error
[Node]
Seeds = 127.0.0.1:%d
Regions = z=r
ListenControl = 127.0.0.1:%d
ListenMetrics = 127.0.0.1:%d
`, freePort(t), t.TempDir(), control, control, metrics)
	s, err := settings.ParsePlatform("core", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	process := NewPlatformReplica(s, "none")
	if err := process.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Stop(context.Background()) })
	get := func(port int, path string) (int, string) {
		client := http.Client{Timeout: 10 * time.Second}
		response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d%s", port, path))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(body)
	}
	if status, body := get(metrics, "/metrics"); status != http.StatusOK || strings.Contains(body, "error") {
		t.Errorf("metrics = %d %q, want 200", status, body)
	}
	// A replica with an empty disk and without Bootstrap starts no log. It must not
	// answer that there is no configuration, since it cannot know that.
	if status, _ := get(control, "/v1/config"); status != http.StatusServiceUnavailable {
		t.Errorf("status of a read on a replica without a log = %d, want 503", status)
	}
}

// An agent lacked a part that only gateways provide, and ended at its start.
func TestEachRoleStarts(t *testing.T) {
	roles := []struct {
		name, node string
		start      func(*schema.PlatformSettings, SettingsFile, ...fx.Option) *fx.App
	}{
		{name: "gateway", node: "ListenCallers = 127.0.0.1:%d\nListenReadiness = 127.0.0.1:%d", start: NewPlatformGateway},
		{name: "replica", node: "ListenControl = 127.0.0.1:%d\nListenMetrics = 127.0.0.1:%d", start: NewPlatformReplica},
		{name: "agent", node: "Upstream = 127.0.0.1:%d\nService = s\nListenMetrics = 127.0.0.1:%d", start: NewPlatformAgent},
	}
	for _, role := range roles {
		t.Run(role.name, func(t *testing.T) {
			text := fmt.Sprintf("[Process]\nId = p\nRegion = r\nFailureDomain = z\nListenProcesses = 127.0.0.1:%d\nDataFolder = %s\nLogLevel = Error\n"+
				"[Node]\nSeeds = 127.0.0.1:%d\nRegions = z=r\n"+role.node+"\n", freePort(t), t.TempDir(), freePort(t), freePort(t), freePort(t))
			s, err := settings.ParsePlatform(role.name, []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			process := role.start(s, "none")
			if err := process.Start(context.Background()); err != nil {
				t.Fatalf("Start() = %v, want nil", err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			if err := process.Stop(ctx); err != nil {
				t.Errorf("Stop() = %v, want nil", err)
			}
		})
	}
}
