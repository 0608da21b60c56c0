// Command cases plays one case of the review against the built programs. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case: the breaks of the rule that were seen.
type verdict struct {
	breaks int
	detail string
}

// cases maps the name of a case to its function. Each case adds itself.
var cases = map[string]func(c *cluster, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(*cluster, bool) (verdict, error), folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer file.Close()
	record := &recorder{file: file, start: time.Now()}
	c, err := newCluster(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer c.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := run(c, trouble)
		done <- result{v, err}
	}()
	select {
	case <-stop:
		return 2
	case <-time.After(110 * time.Second):
		fmt.Println("the case took too long")
		return 2
	case r := <-done:
		if r.err != nil {
			record.line("could not run: %v", r.err)
			fmt.Println("could not run:", r.err)
			return 2
		}
		record.line("verdict: %d breaks; %s", r.verdict.breaks, r.verdict.detail)
		fmt.Printf("%d breaks; %s\n", r.verdict.breaks, r.verdict.detail)
		if r.verdict.breaks > 0 {
			return 1
		}
		return 0
	}
}
