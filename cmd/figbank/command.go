package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"figbank"
	"figbank/keyfile"
	"figbank/operators"

	"github.com/integrii/flaggy"
)

// Exit codes, as docs/OPERATORS.md lists them.
const (
	exitOK = iota
	// exitFailed: the command ran and failed, or a promise did not hold.
	exitFailed
	// exitInvalid: arguments, settings or declarations are wrong; nothing was done.
	exitInvalid
	// exitRefused: the gateway refused or was not reached; nothing was accepted.
	exitRefused
	// exitUnknown: the answer was lost; the same command may be given again.
	exitUnknown
)

// command is one subcommand: its flags, and what it does.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// run parses the arguments, runs the chosen command and returns its exit code.
func run(arguments []string) int {
	parser := flaggy.NewParser("figbank")
	parser.Description = "Distributes model weights in bursts and routes callers' requests meanwhile."
	parser.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 invalid input, 3 refused by the gateway, 4 outcome unknown."
	parser.DisableShowVersionWithVersion()
	commands := []*command{
		newGateway(), newAgent(), newPlatform(), newDemo(), newSoak(), newCheck(), newPublish(), newStatus(),
		newTimeline(), newManifest(), newSettings(), newExample(), newStandIn(),
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return report(figbank.InvalidError{Subject: "arguments", Detail: err.Error()})
	}
	for _, c := range commands {
		if c.sub.Used {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return report(c.run(ctx))
		}
	}
	parser.ShowHelp()
	return exitInvalid
}

func newSub(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

// report prints a failure and returns the exit code for it.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	var problems keyfile.ProblemsError
	if errors.As(err, &problems) {
		fmt.Fprintln(os.Stderr, problems.Error())
		return exitInvalid
	}
	fmt.Fprintln(os.Stderr, "figbank:", err)
	switch {
	case errors.As(err, new(figbank.InvalidError)):
		return exitInvalid
	case errors.As(err, new(operators.RefusedError)), errors.As(err, new(figbank.NotAcceptedError)):
		return exitRefused
	case errors.As(err, new(figbank.UnknownOutcomeError)):
		return exitUnknown
	}
	return exitFailed
}
