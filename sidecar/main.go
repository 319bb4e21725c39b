// Command sidecar runs beside a target on the target's host. All requests and
// weight loads reach the target through its sidecar only.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/sidecar/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
