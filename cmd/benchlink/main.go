// Command benchlink lets the benchmark's simulator drive the decision module. It speaks the simulator's protocol on
// standard input and output.
package main

import (
	"fmt"
	"os"

	"scalechute/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
