// Command measurer measures the decisions under load against baselines, in
// virtual time. It has one verb per measure.
package main

import (
	"os"

	"github.com/lycheeladder/lycheeladder/measurer/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
