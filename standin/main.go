// Command standin takes the place of the systems around lycheeladder, in tests
// and the demo. It has one subcommand per outside system.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/standin/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
