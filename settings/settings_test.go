package settings

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/inifile"
)

const gatewayFile = `[Process]
Id = g1
Region = north
FailureDomain = a
ListenProcesses = 127.0.0.1:1
DataFolder = data

[Gateway]
ListenCallers = 127.0.0.1:2
ListenOperators = 127.0.0.1:3
Replicas = g1@127.0.0.1:1
`

const agentFile = `[Process]
Id = u1
Region = north
FailureDomain = a
ListenProcesses = 127.0.0.1:4

[Upstream]
Service = bookings
Kind = Plain
Address = http://127.0.0.1:5
Gateways = 127.0.0.1:1
`

func TestParseAppliesDefaultsAndUnits(t *testing.T) {
	s, err := ParseGateway("g.ini", []byte(gatewayFile+"[Requests]\nMaxHeld = 8MiB\nQueueAge = 250ms\n"))
	if err != nil {
		t.Fatalf("ParseGateway() = %v", err)
	}
	if got := s.GetRequests().GetMaxHeld(); got != 8<<20 {
		t.Errorf("MaxHeld = %d, want %d", got, 8<<20)
	}
	if got := s.GetRequests().GetQueueAge().AsDuration(); got != 250*time.Millisecond {
		t.Errorf("QueueAge = %v, want 250ms", got)
	}
	if got := s.GetLog().GetElectionTimeout().AsDuration(); got != 500*time.Millisecond {
		t.Errorf("ElectionTimeout = %v, want its default of 500ms", got)
	}
	if _, err := ParseAgent("a.ini", []byte(agentFile)); err != nil {
		t.Errorf("ParseAgent() = %v", err)
	}
}

func TestInvalidSettings(t *testing.T) {
	scenarios := []struct {
		name    string
		agent   bool
		content string
		want    string
	}{
		{name: "unknown key lists the allowed ones", content: gatewayFile + "Port = 3\n", want: "g.ini:12: [Gateway] Port: unknown key; allowed: ListenCallers"},
		{name: "unknown section", content: gatewayFile + "[Gatewya]\n", want: "g.ini:12: [Gatewya] unknown section; allowed: Process"},
		{name: "bytes that are no text", content: strings.Replace(gatewayFile, "Region = ", "Region = \xff", 1), want: "g.ini:3: [Process] Region: bytes that are no UTF-8"},
		{name: "section twice", content: gatewayFile + "[Gateway]\n", want: "g.ini:12: [Gateway] section occurs twice"},
		{name: "missing section", content: "[Process]\nId = g1\nRegion = r\nFailureDomain = a\nListenProcesses = :1\n", want: "g.ini:1: [Gateway] ListenCallers: key is missing"},
		{name: "duration out of range", content: gatewayFile + "[Requests]\nQueueAge = 0s\n", want: "g.ini:13: [Requests] QueueAge: 0s is out of range; allowed: 0.01 to 600"},
		{name: "invalid size", content: gatewayFile + "[Requests]\nMaxBody = large\n", want: `g.ini:13: [Requests] MaxBody: "large" is not a whole number of Bytes`},
		{name: "even number of replicas", content: strings.Replace(gatewayFile, "Replicas = ", "Replicas = g2@127.0.0.1:9, ", 1), want: "g.ini:11: [Gateway] Replicas: the number of replicas must be odd"},
		{name: "heartbeat interval too long", content: gatewayFile + "[Log]\nHeartbeatInterval = 400ms\n", want: "g.ini:13: [Log] HeartbeatInterval: must be at most a third of ElectionTimeout"},
		{name: "data folder on a gateway that is no replica", content: strings.Replace(gatewayFile, "Id = g1", "Id = g9", 1), want: "g.ini:6: [Process] DataFolder: set on a gateway whose Id is not among Replicas"},
		{name: "model agent without an origin", agent: true, content: strings.Replace(agentFile, "Plain", "Model", 1), want: "g.ini:1: [Weights] Origin: a model's agent needs an origin"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var err error
			if s.agent {
				_, err = ParseAgent("g.ini", []byte(s.content))
			} else {
				_, err = ParseGateway("g.ini", []byte(s.content))
			}
			var problems inifile.ProblemsError
			if !errors.As(err, &problems) {
				t.Fatalf("error = %v, want ProblemsError", err)
			}
			if got := problems.Problems[0].String(); !strings.HasPrefix(got, s.want) {
				t.Errorf("first problem = %q, want %q", got, s.want)
			}
		})
	}
}

const platformFile = `[Process]
Id = n1
Region = north
FailureDomain = a
ListenProcesses = 127.0.0.1:1

[Node]
Seeds = 127.0.0.1:2, 127.0.0.1:3
Regions = a=north, b=south

[Bounds]
VersionTime = 8s
RetrySlack = 104
`

func TestInvalidPlatformSettings(t *testing.T) {
	scenarios := []struct {
		name    string
		content string
		want    string
	}{
		{name: "no seeds", content: strings.Replace(platformFile, "Seeds = 127.0.0.1:2, 127.0.0.1:3\n", "", 1), want: "p.ini:7: [Node] Seeds: key is missing"},
		{name: "seed without a port", content: strings.Replace(platformFile, "127.0.0.1:3", "127.0.0.1", 1), want: "p.ini:8: [Node] Seeds: "},
		{name: "failure domain without a region", content: strings.Replace(platformFile, "b=south", "b", 1), want: "p.ini:9: [Node] Regions: "},
		{name: "bound of zero", content: strings.Replace(platformFile, "8s", "0s", 1), want: "p.ini:12: [Bounds] VersionTime: 0s is out of range"},
		{name: "bound without a unit", content: strings.Replace(platformFile, "8s", "8", 1), want: "p.ini:12: [Bounds] VersionTime: "},
		{name: "key that was removed", content: platformFile + "DrainTime = 2s\n", want: "p.ini:14: [Bounds] DrainTime: unknown key; allowed: AnnounceInterval"},
		{name: "retry ratio above 1", content: platformFile + "RetryRatio = 1.01\n", want: "p.ini:14: [Bounds] RetryRatio: "},
		{name: "heartbeat interval too long", content: platformFile + "[Log]\nElectionTimeout = 200ms\nHeartbeatInterval = 100ms\n", want: "p.ini:16: [Log] HeartbeatInterval: must be at most a third"},
		{name: "template placeholder that was not replaced", content: strings.Replace(platformFile, "8s", "{{bounds.version_ms}}ms", 1), want: "p.ini:12: [Bounds] VersionTime: "},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := ParsePlatform("p.ini", []byte(s.content))
			var problems inifile.ProblemsError
			if !errors.As(err, &problems) {
				t.Fatalf("error = %v, want ProblemsError", err)
			}
			if got := problems.Problems[0].String(); !strings.HasPrefix(got, s.want) {
				t.Errorf("first problem = %q, want %q", got, s.want)
			}
		})
	}
}

func TestPlatformWeightBandwidthAndRegions(t *testing.T) {
	s, err := ParsePlatform("p.ini", []byte(platformFile+"\n[Weights]\nLinkRate = 10\nLinkShare = 80\n"))
	if err != nil {
		t.Fatalf("ParsePlatform() = %v", err)
	}
	if got, want := WeightBandwidth(s.GetWeights()), figbank.Bytes(1_000_000); got != want {
		t.Errorf("WeightBandwidth() = %d, want %d", got, want)
	}
	if got, want := RegionsOf(s)["b"], figbank.Region("south"); got != want {
		t.Errorf("region of b = %q, want %q", got, want)
	}
}

func TestWrittenSettingsCanBeReadBack(t *testing.T) {
	s, err := ParseGateway("g.ini", []byte(gatewayFile))
	if err != nil {
		t.Fatalf("ParseGateway() = %v", err)
	}
	var written bytes.Buffer
	if err := inifile.Write(&written, s); err != nil {
		t.Fatalf("Write() = %v", err)
	}
	reread, err := ParseGateway("g.ini", written.Bytes())
	if err != nil || !proto.Equal(reread, s) {
		t.Errorf("settings read back = %v, %v, want %v", reread, err, s)
	}
}

func FuzzParseGateway(f *testing.F) {
	f.Add([]byte(gatewayFile))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := ParseGateway("g.ini", content); err != nil && !errors.As(err, new(inifile.ProblemsError)) {
			t.Errorf("ParseGateway() = %T, want ProblemsError", err)
		}
	})
}

// The ratio of retries that the platform names was not read, so that the default was used whatever
// it said.
func TestDeployedSettingsFollowTheBoundsOfRetries(t *testing.T) {
	content, err := os.ReadFile("../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	for setting, bound := range map[string]string{
		"RetryRatio": "{{bounds.retry_budget_ratio}}", "RetrySlack": "{{bounds.retry_slack}}", "RetryWindow": "{{bounds.retry_window_s}}s",
	} {
		if want := "\n" + setting + " = " + bound + "\n"; !strings.Contains(string(content), want) {
			t.Errorf("deploy/settings.ini has no line %q", want)
		}
	}
	got, err := ParsePlatform("p.ini", []byte(platformFile+"RetryRatio = 0.05\nRetryWindow = 4s\n"))
	if err != nil {
		t.Fatalf("ParsePlatform() = %v", err)
	}
	if ratio, window := got.GetBounds().GetRetryRatio(), got.GetBounds().GetRetryWindow().AsDuration(); ratio != 0.05 || window != 4*time.Second {
		t.Errorf("ratio, window = %v, %v, want 0.05, 4s", ratio, window)
	}
}

// A gateway did not know the memory at which it is killed, and all its requests together held more.
func TestDeployedSettingsFollowTheMemoryLimit(t *testing.T) {
	content, err := os.ReadFile("../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	if want := "\nMemoryLimit = {{limits.memory_mb}}\n"; !strings.Contains(string(content), want) {
		t.Errorf("deploy/settings.ini has no line %q", want)
	}
	scenarios := []struct {
		text                   string
		wantRequests, wantHeap figbank.Bytes
	}{
		{text: "MemoryLimit = 160", wantRequests: 60e6, wantHeap: 120e6},
		{text: "MemoryLimit = 0", wantRequests: 64 << 20},
		{text: "", wantRequests: 64 << 20},
	}
	for _, s := range scenarios {
		node, _, _ := strings.Cut(platformFile, "[Bounds]")
		got, err := ParsePlatform("p.ini", []byte(node+s.text+"\n"))
		if err != nil {
			t.Fatalf("ParsePlatform() = %v", err)
		}
		if requests, heap := RequestMemory(got.GetNode()), HeapLimit(got.GetNode()); requests != s.wantRequests || heap != s.wantHeap {
			t.Errorf("%q: requests, heap = %d, %d, want %d, %d", s.text, requests, heap, s.wantRequests, s.wantHeap)
		}
	}
}
