// Command measurer compares the scheduling decisions with baselines under load,
// in virtual time. It has one command per benchmark.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/measurer/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
