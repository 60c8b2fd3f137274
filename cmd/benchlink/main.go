// Command benchlink lets the bench drive the decision module over standard input and output.
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
