package demo

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/declaration"
	"figbank/deployment"
	"figbank/schema"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"
)

const (
	// drainGrace is how long a failure domain may still get new calls after it was taken out.
	drainGrace = 3 * time.Second
	// drainTime is how long the domain stays out after drainGrace. It must get no new calls in
	// this time.
	drainTime = 4 * time.Second
	// returnTimeout bounds the time until the domain gets calls again.
	returnTimeout = 20 * time.Second
	// progressLines is how many progress lines follow the first one if the output is no terminal.
	progressLines = 10
	// maxComparisons is how many hosts are compared at once.
	maxComparisons = 4
)

// distribute waits until every model host serves the weights, and shows the progress. It
// returns an error after distributionTimeout.
func (d *demo) distribute(ctx context.Context, published time.Time) error {
	progress := d.newProgress()
	whole := map[string]time.Duration{}
	deadline := published.Add(distributionTimeout)
	for {
		records := d.modelUpstreams(ctx)
		chunks, serving := 0, 0
		for _, record := range records {
			since := d.clock.Now().Sub(published)
			if record.GetWholeManifest() == string(d.digest) {
				chunks += len(d.manifest.GetChunks())
				if _, seen := whole[record.GetId()]; !seen {
					whole[record.GetId()] = since
				}
			} else {
				chunks += int(record.GetChunksWhole())
			}
			if record.GetManifest() == string(d.digest) && record.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY {
				serving++
			}
		}
		progress.set(chunks, len(whole))
		if serving == d.deployment.ModelHosts() {
			progress.finish()
			d.summary.Whole = sortedTimes(whole)
			d.summary.Serving = d.clock.Now().Sub(published)
			return nil
		}
		if d.clock.Now().After(deadline) || ctx.Err() != nil {
			detail := fmt.Sprintf("%d of %d hosts serve the declared weights", serving, d.deployment.ModelHosts())
			return figbank.WrapError("demo", "Distribution", figbank.InvalidError{Subject: "distribution", Detail: detail})
		}
		<-d.clock.After(pollInterval)
	}
}

// modelUpstreams returns the model upstreams of each failure domain, as one gateway of the same
// domain reports them. It omits the domains in which no gateway answers.
func (d *demo) modelUpstreams(ctx context.Context) []*schema.Upstream {
	var records []*schema.Upstream
	seen := map[string]bool{}
	for i, gateway := range d.nodes.plan.Gateways {
		domain := gateway.GetProcess().GetFailureDomain()
		if seen[domain] {
			continue
		}
		status, err := d.client(i).Status(ctx)
		if err != nil {
			continue
		}
		seen[domain] = true
		for _, record := range status.GetUpstreams() {
			if record.GetFailureDomain() == domain && record.GetService() == string(d.deployment.ModelService().Name) {
				records = append(records, record)
			}
		}
	}
	return records
}

// drainDomain takes the second failure domain out with a declaration and brings it back. While
// the domain is out, drainDomain counts the calls that run there after drainGrace.
func (d *demo) drainDomain(ctx context.Context) error {
	domain := d.deployment.Domains[1].Name
	if err := d.declareDomain(ctx, domain, 1, "Out"); err != nil {
		return err
	}
	d.printf("took failure domain %s out", domain)
	<-d.clock.After(drainGrace)
	runsBefore := d.nodes.runsIn(domain)
	<-d.clock.After(drainTime)
	d.summary.Misplaced = d.nodes.runsIn(domain) - runsBefore
	if err := d.declareDomain(ctx, domain, 2, "In"); err != nil {
		return err
	}
	returned := d.clock.Now()
	for d.nodes.runsIn(domain) == runsBefore+d.summary.Misplaced {
		if d.clock.Now().Sub(returned) > returnTimeout || ctx.Err() != nil {
			detail := fmt.Sprintf("failure domain %s got no calls after its return", domain)
			return figbank.WrapError("demo", "Return", figbank.InvalidError{Subject: "return", Detail: detail})
		}
		<-d.clock.After(pollInterval)
	}
	d.summary.Return = d.clock.Now().Sub(returned)
	d.printf("brought failure domain %s back", domain)
	return nil
}

func (d *demo) declareDomain(ctx context.Context, domain figbank.FailureDomain, revision int64, state string) error {
	folder := filepath.Join(d.folder, "domains")
	text := deployment.DeclareDomain(domain, revision, state)
	if err := writeText(filepath.Join(folder, string(domain)+declaration.Extension), text); err != nil {
		return err
	}
	_, err := d.publish(ctx, folder)
	return err
}

// summarize compares every host's folder with the source and fills in the summary.
func (d *demo) summarize() {
	d.printf("comparing the weights of every host with the source")
	d.summary.HostsWhole = d.compareHosts()
	d.summary.Size = sizeOf(d.manifest)
	d.summary.OriginBytes = d.nodes.origin.SentBytes()
	d.summary.DoubleRuns = d.nodes.runCounter.Duplicates()
	d.summary.Outcomes = d.callers.outcomes
	d.summary.MemoryPeak = peakMemory()
}

// compareHosts returns the number of hosts that hold exactly the declared weights.
func (d *demo) compareHosts() int {
	var whole atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxComparisons)
	for _, agent := range d.nodes.plan.Agents {
		if agent.GetProcess().GetDataFolder() == "" {
			continue
		}
		group.Go(func() error {
			name := strings.TrimPrefix(string(d.digest), "sha256:")
			host := filepath.Join(agent.GetProcess().GetDataFolder(), "Weights", name)
			if err := newComparer().compareFolders(d.source, host, d.manifest); err != nil {
				d.printf("%s: %v", agent.GetProcess().GetId(), err)
				return nil
			}
			whole.Add(1)
			return nil
		})
	}
	_ = group.Wait()
	return int(whole.Load())
}

func sortedTimes(times map[string]time.Duration) []time.Duration {
	var sorted []time.Duration
	for _, t := range times {
		sorted = append(sorted, t)
	}
	slices.Sort(sorted)
	return sorted
}

// progress shows how much of the weights is distributed. On a terminal it shows a bar, otherwise
// it prints a line for each tenth.
type progress struct {
	output io.Writer
	bar    *progressbar.ProgressBar
	total  int
	hosts  int
	// shown is the number of tenths in the last line that was printed, or -1 before the first
	// line.
	shown int
}

func (d *demo) newProgress() *progress {
	p := &progress{output: d.options.Output, total: len(d.manifest.GetChunks()) * d.deployment.ModelHosts(), hosts: d.deployment.ModelHosts(), shown: -1}
	if d.options.Terminal {
		p.bar = progressbar.NewOptions(p.total, progressbar.OptionSetWriter(d.options.Output),
			progressbar.OptionSetDescription("distributing"), progressbar.OptionShowCount())
	}
	return p
}

func (p *progress) set(chunks, whole int) {
	if p.bar != nil {
		_ = p.bar.Set(chunks)
		return
	}
	if tenth := chunks * progressLines / max(1, p.total); tenth > p.shown {
		p.shown = tenth
		fmt.Fprintf(p.output, "distributing: %d of %d chunks, %d of %d hosts complete\n", chunks, p.total, whole, p.hosts)
	}
}

func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
		fmt.Fprintln(p.output)
	}
}
