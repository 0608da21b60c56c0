package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"figbank"
	"figbank/demo"
	"figbank/settings"
	"figbank/weights"

	"golang.org/x/term"
)

// promiseError reports that a demo or soak run found a violation of one of the promises that it
// checks, for example that no booking runs twice.
type promiseError struct{}

// Error tells that a promise was broken, without naming it.
func (promiseError) Error() string { return "not every promise held" }

const defaultDuration = 30 * time.Second

func newDemo() *command {
	c := &command{sub: newSubcommand("demo", "Run a whole deployment in this process and check what callers and hosts get.")}
	options := demo.Options{Deployment: "tabwright", Duration: defaultDuration, Output: os.Stdout}
	c.sub.String(&options.Weights, "w", "weights", "Folder to distribute; it is only read. A small sample by default.")
	c.sub.String(&options.Deployment, "d", "deployment", "tabwright or bluehole.")
	c.sub.Duration(&options.Duration, "", "duration", "Shortest time for which callers send requests.")
	c.sub.Bool(&options.Keep, "k", "keep", "Keep serving after the summary, and print the addresses.")
	c.run = func(ctx context.Context) error {
		options.Terminal = term.IsTerminal(int(os.Stdout.Fd()))
		summary, err := demo.Run(ctx, options)
		if err != nil {
			return err
		}
		if !options.Keep {
			summary.Print(os.Stdout)
		}
		if !summary.Passed() {
			return promiseError{}
		}
		return nil
	}
	return c
}

func newManifest() *command {
	c := &command{sub: newSubcommand("manifest", "Make the manifest of a folder of weights and print its digest.")}
	folder := folderArgument(c)
	out := "Manifest"
	c.sub.String(&out, "o", "out", "File to write the manifest to.")
	c.run = func(context.Context) error {
		manifest, err := weights.Build(*folder)
		if err != nil {
			return err
		}
		content, digest, err := weights.Marshal(manifest)
		if err != nil {
			return err
		}
		if err := os.WriteFile(out, content, 0o644); err != nil { //nolint:gosec // not secret
			return figbank.InvalidError{Subject: "file", Detail: err.Error()}
		}
		fmt.Printf("Manifest = %s\n", digest)
		fmt.Printf("# %d files, %d bytes, %d chunks\n", len(manifest.GetFiles()), weights.Size(manifest), len(manifest.GetChunks()))
		return nil
	}
	return c
}

func newSettings() *command {
	c := &command{sub: newSubcommand("settings", "Print the reference of all settings.")}
	c.run = func(context.Context) error {
		return settings.WriteReference(os.Stdout)
	}
	return c
}
