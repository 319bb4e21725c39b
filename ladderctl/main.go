// Command ladderctl is the command-line tool for operators and owners.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/ladderctl/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
