package main

import (
	"context"

	"figbank"
	"figbank/app"
	"figbank/settings"

	"go.uber.org/fx"
)

// processError reports that a process shut itself down after a failure.
type processError struct {
	code int
}

// Error refers to the log of the process.
func (processError) Error() string { return "process ended after a failure; see its log" }

func newGateway() *command {
	c := &command{sub: newSubcommand("gateway", "Run a gateway; with a DataFolder in its settings, a replica of the log too.")}
	path := settingsFlag(c)
	c.run = func(ctx context.Context) error {
		s, err := settings.ReadGateway(*path)
		if err != nil {
			return err
		}
		return runApp(ctx, app.NewGateway(s))
	}
	return c
}

func newAgent() *command {
	c := &command{sub: newSubcommand("agent", "Run the agent beside an upstream.")}
	path := settingsFlag(c)
	c.run = func(ctx context.Context) error {
		s, err := settings.ReadAgent(*path)
		if err != nil {
			return err
		}
		return runApp(ctx, app.NewAgent(s))
	}
	return c
}

func settingsFlag(c *command) *string {
	path := ""
	c.sub.String(&path, "s", "settings", "INI file of settings; figbank settings prints the reference.")
	return &path
}

// runApp runs process until ctx ends or the process shuts itself down. Interrupt and termination
// signals must end ctx. The caller must register for these signals before it calls runApp, so
// that a signal during the start is not lost.
func runApp(ctx context.Context, process *fx.App) error {
	if err := process.Err(); err != nil {
		return figbank.WrapError("figbank", "Start", err)
	}
	starting, cancel := context.WithTimeout(context.Background(), process.StartTimeout())
	defer cancel()
	if err := process.Start(starting); err != nil {
		return figbank.WrapError("figbank", "Start", err)
	}
	shutdown := fx.ShutdownSignal{}
	select {
	case shutdown = <-process.Wait():
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.Background(), process.StopTimeout())
	defer cancel()
	if err := process.Stop(stopping); err != nil {
		return figbank.WrapError("figbank", "Stop", err)
	}
	if shutdown.ExitCode != 0 {
		return processError{code: shutdown.ExitCode}
	}
	return nil
}
