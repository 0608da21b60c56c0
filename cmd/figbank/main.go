// Command figbank is every process of the system, and the operators' tools.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:]))
}
