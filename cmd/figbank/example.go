package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"figbank"
	"figbank/clock"
	"figbank/deployment"
	"figbank/fake"
	"figbank/inifile"
	"figbank/weights"

	"google.golang.org/protobuf/proto"
)

const (
	// basePort is one below the first port of an example deployment.
	basePort   = 21000
	folderMode = 0o755
	fileMode   = 0o644
)

// newExample returns the command that writes the settings files of an example
// deployment, one for each process.
func newExample() *command {
	c := &command{sub: newSubcommand("example", "Write the settings files of an example deployment on loopback addresses.")}
	folder := folderArgument(c)
	name, data := "tabwright", ".data"
	c.sub.String(&name, "d", "deployment", "tabwright or bluehole.")
	c.sub.String(&data, "", "data", "Folder for the processes' durable state.")
	c.run = func(context.Context) error {
		d := deployment.ByName(name)
		if d == nil {
			return figbank.InvalidError{Subject: "deployment", Detail: name + "; allowed: tabwright, bluehole"}
		}
		plan, err := deployment.NewPlan(d, sequentialAddresses(), data)
		if err != nil {
			return err
		}
		return writeExample(*folder, plan)
	}
	return c
}

// sequentialAddresses returns a function that yields loopback addresses with
// consecutive ports.
func sequentialAddresses() deployment.AddressAllocator {
	port := basePort
	return func() (string, error) {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port), nil
	}
}

func writeExample(folder string, plan *deployment.Plan) error {
	for _, gateway := range plan.Gateways {
		if err := writeSettings(filepath.Join(folder, "gateways", gateway.GetProcess().GetId()+".ini"), gateway); err != nil {
			return err
		}
	}
	for _, agent := range plan.Agents {
		if err := writeSettings(filepath.Join(folder, "agents", agent.GetProcess().GetId()+".ini"), agent); err != nil {
			return err
		}
	}
	return nil
}

func writeSettings(path string, message proto.Message) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return figbank.WrapError("example", "Write", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode) //nolint:gosec // the operator names the folder
	if err != nil {
		return figbank.WrapError("example", "Write", err)
	}
	defer file.Close()
	return inifile.Write(file, message)
}

// newStandIn returns the command that runs a fake engine, service or origin as a
// process.
func newStandIn() *command {
	c := &command{sub: newSubcommand("standin", "Run a stand-in for an engine, a service or an origin, for experiments.")}
	kind, address, folder := "", "", ""
	c.sub.AddPositionalValue(&kind, "KIND", 1, true, "engine, service or origin.")
	c.sub.String(&address, "l", "listen", "Address or base URL to listen on.")
	c.sub.String(&folder, "w", "weights", "Folder that the origin serves.")
	c.run = func(ctx context.Context) error {
		listener, err := net.Listen("tcp", strings.TrimPrefix(address, "http://")) //nolint:noctx // listens for the life of the process
		if err != nil {
			return figbank.InvalidError{Subject: "address", Detail: err.Error()}
		}
		if err := startStandIn(kind, listener, folder); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
	return c
}

func startStandIn(kind string, listener net.Listener, folder string) error {
	switch kind {
	case "engine":
		fake.NewEngine(listener, clock.System{}, fake.EngineSettings{TokenInterval: standInTokenInterval})
	case "service":
		fake.NewService(listener, clock.System{}, standInWorkTime, fake.NewRunCounter())
	case "origin":
		return startOrigin(listener, folder)
	default:
		return figbank.InvalidError{Subject: "kind", Detail: kind + "; allowed: engine, service, origin"}
	}
	return nil
}

// Times of the fake engine and the fake service, in nanoseconds.
const (
	standInTokenInterval = 10e6
	standInWorkTime      = 20e6
)

func startOrigin(listener net.Listener, folder string) error {
	manifest, err := weights.Build(folder)
	if err != nil {
		return err
	}
	content, digest, err := weights.Marshal(manifest)
	if err != nil {
		return err
	}
	fake.NewOrigin(listener, 0).Add(digest, content, folder)
	return nil
}
