// Command standin simulates the systems that lycheeladder works with, for tests
// and the demo. Each subcommand is one simulated system or test tool.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/standin/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
