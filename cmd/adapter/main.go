// Command adapter runs the decision module against the simulator, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"arrowcleat/internal/simwire"
)

func main() {
	debug.SetGCPercent(400) // short-lived garbage, little memory: fewer collections
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
