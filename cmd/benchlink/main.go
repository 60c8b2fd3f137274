// Command benchlink runs the controller for the simulator: it reads batches of events from standard input and writes
// the controller's actions to standard output.
package main

import (
	"fmt"
	"os"

	"ospreycroft/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
