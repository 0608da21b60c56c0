// Command figbank runs each kind of process of the system and holds the tools for
// operators.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:]))
}
