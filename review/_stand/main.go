// Command stand runs the scripted cases of the second review against the programs of the deploy file. Each case starts
// a small deployment as separate processes on loopback addresses, with stand-ins for workers, operator and consumers,
// writes what was sent, answered and run to record.txt, and exits with 1 if a rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(r *record, trouble bool) (held bool, err error){
	"foreign":  foreignCase,
	"refused":  refusedCase,
	"born":     bornCase,
	"slowbody": slowBodyCase,
	"limits":   limitsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %t", name, trouble)
	held, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		return exitNotRun
	case held:
		r.printf("the rule held")
		return exitHeld
	}
	r.printf("THE RULE WAS BROKEN")
	return exitBroken
}
