package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"figbank"
	"figbank/inifile"
	"figbank/operators"

	"github.com/integrii/flaggy"
)

// Exit codes. docs/OPERATORS.md lists them too.
const (
	exitOK = iota
	// exitFailed means that the command failed, or that a demo or soak run broke a
	// promise.
	exitFailed
	// exitInvalid means that arguments, settings or declarations are invalid. The command
	// did nothing.
	exitInvalid
	// exitRefused means that the gateway refused the request or could not be reached. The
	// gateway accepted nothing.
	exitRefused
	// exitUnknown means that the outcome is unknown, for example because the answer was lost.
	// It is safe to run the same command again.
	exitUnknown
)

// subjectArguments names the command line in errors.
const subjectArguments = "arguments"

// command is one subcommand: its flags and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// run parses the arguments, runs the subcommand that they name and returns the exit code.
func run(arguments []string) int {
	parser := flaggy.NewParser("figbank")
	parser.Description = "Distributes model weights in bursts and routes callers' requests meanwhile."
	parser.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 invalid input, 3 refused by the gateway, 4 outcome unknown."
	parser.DisableShowVersionWithVersion()
	commands := []*command{
		newGateway(), newAgent(), newPlatform(), newDemo(), newSoak(), newSoakReplica(), newCheck(), newRules(), newDuties(), newPublish(), newStatus(),
		newTimeline(), newManifest(), newSettings(), newExample(), newStandIn(),
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return reportError(figbank.InvalidError{Subject: subjectArguments, Detail: err.Error()})
	}
	for _, c := range commands {
		if c.sub.Used {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return reportError(c.run(ctx))
		}
	}
	parser.ShowHelp()
	return exitInvalid
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

// reportError prints an error, if any, and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	var problems inifile.ProblemsError
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
