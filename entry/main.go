// Command entry faces callers, trainers and operators, and gives their
// requests to sidecars. It keeps nothing that must last.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/entry/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
