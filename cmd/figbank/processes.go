package main

import (
	"context"

	"figbank"
	"figbank/app"
	"figbank/settings"

	"go.uber.org/fx"
)

// processError is a process that ended by itself with a failure.
type processError struct {
	code int
}

// Error says so.
func (processError) Error() string { return "process ended after a failure; see its log" }

func newGateway() *command {
	c := &command{sub: newSub("gateway", "Run a gateway; with a DataFolder in its settings, a replica of the log too.")}
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
	c := &command{sub: newSub("agent", "Run the agent beside an upstream.")}
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

// runApp runs until ctx ends, as it does with the first signal from the start of
// the program on, or until the process ends itself.
func runApp(ctx context.Context, process *fx.App) error {
	if err := process.Err(); err != nil {
		return figbank.Fail("figbank", "Start", err)
	}
	starting, cancel := context.WithTimeout(context.Background(), process.StartTimeout())
	defer cancel()
	if err := process.Start(starting); err != nil {
		return figbank.Fail("figbank", "Start", err)
	}
	ended := fx.ShutdownSignal{}
	select {
	case ended = <-process.Wait():
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.Background(), process.StopTimeout())
	defer cancel()
	if err := process.Stop(stopping); err != nil {
		return figbank.Fail("figbank", "Stop", err)
	}
	if ended.ExitCode != 0 {
		return processError{code: ended.ExitCode}
	}
	return nil
}
