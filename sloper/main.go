// Command sloper measures on this machine how the cost of control grows, and
// fits a line to each.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/sloper/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
