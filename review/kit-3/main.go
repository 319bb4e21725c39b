// Command review-3 plays the scripts of the third review: it starts the project's program as
// processes beside stand-ins for the platform, its workers and its clients, and judges what these
// have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the scripts by their folders in review/.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"11": manyJobs,
	"12": outageDuringRollback,
	"13": failingRelease,
	"14": flappingWorker,
}

// hosts is the number of entry hosts.
const hosts = 7

func topicName(text string) identifier.TopicName { return identifier.TopicName(text) }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE")
		return exitFailed
	}
	r, err := newRecord(filepath.Join("review", os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := newDeployment(r, hosts)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
