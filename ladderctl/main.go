// Command ladderctl is the operators' command line.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/ladderctl/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
