// Package demo runs a whole deployment in one process over loopback TCP, with fake
// engines, services and origin, and checks what callers and hosts receive.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/declaration"
	"figbank/deployment"
	"figbank/operators"
	"figbank/schema"
	"figbank/weights"
)

const (
	readyTimeout        = 30 * time.Second
	distributionTimeout = 15 * time.Minute
	pollInterval        = 100 * time.Millisecond
	firstVersion        = "v1"
)

type (
	// Options configures a demo.
	Options struct {
		// Weights is the folder to distribute. If empty, a small sample is distributed.
		Weights string
		// Deployment is the name of the deployment: tabwright or bluehole.
		Deployment string
		// Duration is the minimum time for which callers send requests.
		Duration time.Duration
		// Keep makes the demo print the summary and then serve until the context ends.
		Keep bool
		// Output receives progress lines and the summary.
		Output io.Writer
		// Terminal is set if Output is a terminal. The demo then shows a progress bar instead
		// of progress lines.
		Terminal bool
	}

	// demo is one run.
	demo struct {
		options    Options
		clock      figbank.Clock
		deployment *deployment.Deployment
		// folder is a temporary folder for everything that the demo writes.
		folder string
		// source is the folder of weights to distribute.
		source   string
		manifest *schema.Manifest
		digest   figbank.ManifestDigest
		nodes    *nodes
		balancer *balancer
		callers  *callers
		summary  *Summary
	}
)

// Run runs a demo and returns its summary. It returns an error if the demo could not run to its
// end. A failed check of the results is not an error; Summary.Passed reports it.
func Run(ctx context.Context, options Options) (*Summary, error) {
	d := &demo{options: options, clock: clock.System{}, deployment: deployment.ByName(options.Deployment)}
	if d.deployment == nil {
		return nil, figbank.InvalidError{Subject: "deployment", Detail: options.Deployment + "; allowed: tabwright, bluehole"}
	}
	folder, err := os.MkdirTemp("", "figbank-demo-")
	if err != nil {
		return nil, figbank.WrapError("demo", "Folder", err)
	}
	d.folder = folder
	d.summary = &Summary{Hosts: d.deployment.ModelHosts()}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	return d.summary, nil
}

func (d *demo) run(ctx context.Context) error {
	if err := d.prepareWeights(); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, "log"))
	if err != nil {
		return figbank.WrapError("demo", "Log", err)
	}
	defer log.Close()
	d.printf("starting %s: %d gateways, %d model hosts", d.deployment.Name, d.gatewayCount(), d.deployment.ModelHosts())
	d.nodes, err = startNodes(ctx, d.deployment, filepath.Join(d.folder, "data"), log)
	if d.nodes != nil {
		defer d.nodes.stop(context.WithoutCancel(ctx)) //nolint:errcheck // the demo's result does not depend on it
	}
	if err != nil {
		return err
	}
	content, _, err := weights.Marshal(d.manifest)
	if err != nil {
		return err
	}
	d.nodes.origin.Add(d.digest, content, d.source)
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	d.balancer = newBalancer(d.clock, d.nodes.plan)
	go d.balancer.run(background)
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	if err := d.runScenario(ctx); err != nil {
		d.printf("demo failed; end of the log:\n%s", readTail(log.Name()))
		return err
	}
	d.waitIfKeepSet(ctx)
	return nil
}

// runScenario publishes the services and waits until the weights are distributed. It then drains
// a failure domain and brings the domain back. Callers send requests from the publication until
// the end. Finally, runScenario fills in the summary.
func (d *demo) runScenario(ctx context.Context) error {
	started := d.clock.Now()
	published, err := d.publishServices(ctx)
	if err != nil {
		return err
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	d.callers = newCallers(d.deployment, d.balancer, d.clock, d.nodes.runCounter, func() map[string]bool {
		return map[string]bool{string(d.digest): true}
	})
	var group sync.WaitGroup
	group.Go(func() { d.callers.run(callerCtx) })
	if err := d.distribute(ctx, published); err != nil {
		return err
	}
	if err := d.drainDomain(ctx); err != nil {
		return err
	}
	if rest := d.options.Duration - d.clock.Now().Sub(started); rest > 0 {
		d.printf("serving callers for another %s", rest.Round(time.Second))
		select {
		case <-ctx.Done():
		case <-d.clock.After(rest):
		}
	}
	stopCallers()
	group.Wait()
	d.summarize()
	return nil
}

func (d *demo) prepareWeights() error {
	d.source = d.options.Weights
	if d.source == "" {
		d.source = filepath.Join(d.folder, "sample")
		if err := writeSample(d.source); err != nil {
			return err
		}
	}
	manifest, err := weights.Build(d.source)
	if err != nil {
		return err
	}
	d.manifest = manifest
	_, d.digest, err = weights.Marshal(manifest)
	d.printf("weights: %d files, %s in %d chunks, %s", len(manifest.GetFiles()), sizeText(weights.Size(manifest)), len(manifest.GetChunks()), d.digest)
	return err
}

// awaitReady waits until all gateways are ready and all upstreams have announced themselves.
func (d *demo) awaitReady(ctx context.Context) error {
	deadline := d.clock.Now().Add(readyTimeout)
	for {
		status, err := d.client(0).Status(ctx)
		if err == nil && len(status.GetUpstreams()) == len(d.nodes.plan.Agents) && d.balancer.readyCount() == d.gatewayCount() {
			return nil
		}
		if d.clock.Now().After(deadline) || ctx.Err() != nil {
			return figbank.WrapError("demo", "NotReady", figbank.InvalidError{Subject: "deployment", Detail: "not all processes became ready"})
		}
		<-d.clock.After(pollInterval)
	}
}

// publishServices publishes the services as an operator does: it writes declaration files
// and publishes their folder.
func (d *demo) publishServices(ctx context.Context) (time.Time, error) {
	folder := filepath.Join(d.folder, "services")
	for service, text := range d.deployment.Declarations(1, firstVersion, d.digest) {
		path := filepath.Join(folder, string(service), string(service)+declaration.Extension)
		if err := writeText(path, text); err != nil {
			return time.Time{}, err
		}
	}
	result, err := d.publish(ctx, folder)
	if err != nil {
		return time.Time{}, err
	}
	d.printf("published %d services, commit index %d", len(result.GetChanges()), result.GetCommitIndex())
	return d.clock.Now(), nil
}

func (d *demo) publish(ctx context.Context, folder string) (*schema.Result, error) {
	declarations, err := declaration.ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	return d.client(0).Publish(ctx, &schema.Publish{Declarations: declarations})
}

func (d *demo) client(gateway int) *operators.Client {
	return operators.NewClient(d.nodes.plan.Gateways[gateway].GetGateway().GetListenOperators(), deployment.OperatorKey)
}

func (d *demo) gatewayCount() int {
	count := 0
	for _, domain := range d.deployment.Domains {
		count += domain.Gateways
	}
	return count
}

// waitIfKeepSet returns at once unless the option Keep is set. Otherwise it prints the summary
// and how to reach the deployment, and waits until the context ends.
func (d *demo) waitIfKeepSet(ctx context.Context) {
	if !d.options.Keep {
		return
	}
	d.summary.Print(d.options.Output)
	gateway := d.nodes.plan.Gateways[0].GetGateway()
	service, workspace := d.deployment.ModelService().Name, d.deployment.Workspaces[0]
	d.printf("still serving; press Ctrl+C to stop\n"+
		"  operators: figbank status --to %s --key %s\n"+
		"  callers:   curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"               -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'",
		gateway.GetListenOperators(), deployment.OperatorKey, gateway.GetListenCallers(), deployment.CallerKey(workspace), service)
	<-ctx.Done()
}

func (d *demo) printf(format string, values ...any) {
	fmt.Fprintf(d.options.Output, format+"\n", values...)
}

func writeText(path, text string) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return figbank.WrapError("demo", "Write", err)
	}
	return figbank.WrapError("demo", "Write", os.WriteFile(path, []byte(text), fileMode))
}

const tailBytes = 4 << 10

// readTail returns the last tailBytes bytes of a file, or the text of the error if it cannot
// be read.
func readTail(path string) string {
	content, err := os.ReadFile(path) //nolint:gosec // the demo's own log
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-tailBytes):])
}
