// Command sloper measures on this machine how the cost of the control plane
// grows with its load, and fits a line to each cost.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/sloper/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
