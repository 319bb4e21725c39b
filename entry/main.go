// Command entry accepts requests from callers, trainers and operators and
// dispatches them to sidecars. It stores no durable state.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/entry/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
