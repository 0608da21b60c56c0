package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by their numbers.
var cases = map[string]func(*cluster, bool) (bool, error){
	"11": runReleases,
	"12": runSlowReaders,
	"13": runOddWriter,
	"14": runBirthless,
}

// main runs a case: figbank-case-3 NUMBER RECORD. It exits with 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
func main() {
	run, found := cases[os.Args[1]]
	if !found {
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{out: out, start: time.Now()}
	c, err := newCluster(r, "target/figbank")
	if err != nil {
		r.note("cannot run: %v", err)
		os.Exit(2)
	}
	broken, err := run(c, os.Getenv("TROUBLE") != "0")
	c.close()
	switch {
	case err != nil:
		r.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		r.note("the rule was broken")
		os.Exit(1)
	}
	r.note("the rule held")
}
