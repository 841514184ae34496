// Command adapter connects the decision module to the simulator through standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"arrowcleat/internal/simwire"
)

func main() {
	debug.SetGCPercent(400) // much short-lived garbage in a small heap: collect less often
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
