// Command benchlink lets the bench drive the decision module: it speaks the bench's wire on standard input and output.
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
