package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"figbank"
	"figbank/soak"
)

const (
	soakLength   = 20 * time.Second
	soakReplicas = 3
	soakGateways = 3
)

func newSoak() *command {
	c := &command{sub: newSubcommand("soak", "Run real processes on loopback under seeded faults and check what callers see.")}
	options := soak.Options{
		Seed: 1, Length: soakLength, Output: os.Stdout,
		Size: soak.Size{Replicas: soakReplicas, Gateways: soakGateways, Agents: 2 * soakGateways},
	}
	runs, scenario := 1, ""
	c.sub.UInt64(&options.Seed, "", "seed", "First seed.")
	c.sub.Int(&runs, "n", "runs", "How many seeds to run, one after the other.")
	c.sub.String(&scenario, "", "scenario", "Plan to carry out in place of the random faults: "+strings.Join(soak.ScenarioNames(), ", ")+".")
	c.sub.Duration(&options.Length, "", "length", "How long faults are injected in each run.")
	c.sub.Int(&options.Size.Replicas, "", "replicas", "Replicas of the log, an odd number.")
	c.sub.Int(&options.Size.Gateways, "", "gateways", "Gateways.")
	c.sub.Int(&options.Size.Agents, "", "agents", "Agents, each with an upstream.")
	c.sub.String(&options.Folder, "f", "folder", "Folder for settings, logs, data and time lines of failed runs. A temporary one by default.")
	c.run = func(ctx context.Context) error {
		binary, err := os.Executable()
		if err != nil {
			return figbank.WrapError("figbank", "Executable", err)
		}
		options.Binary = binary
		if options.Scenario, err = soak.FindScenario(scenario); err != nil {
			return err
		}
		return runSoak(ctx, options, runs)
	}
	return c
}

// runSoak runs one seed after the other. If a run broke a promise, runSoak keeps the folder of
// that run, and returns a promiseError after the last run.
func runSoak(ctx context.Context, options soak.Options, runs int) error {
	if err := options.Check(); err != nil {
		return err
	}
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "figbank-soak-")
		if err != nil {
			return figbank.WrapError("figbank", "Folder", err)
		}
		options.Folder = folder
	}
	parent, failedRuns := options.Folder, 0
	for range runs {
		options.Folder = filepath.Join(parent, fmt.Sprintf("seed-%d", options.Seed))
		report, err := soak.Run(ctx, options)
		if err != nil {
			return err
		}
		printReport(options.Output, report)
		if report.Passed() {
			_ = os.RemoveAll(options.Folder)
		} else {
			failedRuns++
			if err := writeSoakPage(report, filepath.Join(options.Folder, "TimeLine.html")); err != nil {
				return err
			}
		}
		options.Seed++
	}
	fmt.Fprintf(options.Output, "%d of %d runs broke a promise\n", failedRuns, runs)
	if failedRuns > 0 {
		fmt.Fprintf(options.Output, "logs, data and time lines: %s\n", parent)
		return promiseError{}
	}
	return nil
}

func printReport(w io.Writer, report *soak.Report) {
	fmt.Fprintf(w, "seed %d: %d faults, %d promises broken;", report.Seed, report.Faults, len(report.Broken))
	for _, outcome := range slices.Sorted(maps.Keys(report.Outcomes)) {
		fmt.Fprintf(w, " %s: %d", outcome, report.Outcomes[outcome])
	}
	fmt.Fprintln(w)
	for _, broken := range report.Broken {
		fmt.Fprintf(w, "  %8.3f s  %s  %s\n", broken.At.Seconds(), broken.Promise, broken.Detail)
	}
}

func writeSoakPage(report *soak.Report, path string) error {
	file, err := os.Create(path) //nolint:gosec // named by the user
	if err != nil {
		return figbank.WrapError("figbank", "Page", err)
	}
	defer file.Close()
	return report.WritePage(file)
}
