// Command sidecar runs in the slot of a target host. It alone hands work and
// orders to the target beside it.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/sidecar/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
