// Command review-kit plays the cases of the independent review: it starts the project's programs as
// processes, beside stand-ins of the platform's store, of workers and of clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
)

// maxDuration is the longest time that a case may take.
const maxDuration = 115 * time.Second

// play is a case. It returns the violations of the rule that were seen.
type play func(w *world, trouble bool) (violations []string, err error)

var plays = map[string]play{
	"stale-configuration": playStaleConfiguration,
	"mixed-software":      playMixedSoftware,
	"late-scorer":         playLateScorer,
	"late-origin":         playLateOrigin,
	"smuggled-item":       playSmuggledItem,
	"extra-refusal":       playExtraRefusal,
	"torn-job":            playTornJob,
	"killed-resend":       playKilledResend,
	"short-timeout":       playShortTimeout,
	"long-id":             playLongID,
	"open-job":            playOpenJob,
}

// main plays the case of the first argument and writes record.txt into the folder of the second.
// It has to be started in the repository's root.
func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, disruption: %v", os.Args[1], trouble)
	type outcome struct {
		violations []string
		err        error
	}
	ended := make(chan outcome, 1)
	go func() {
		violations, err := plays[os.Args[1]](w, trouble)
		ended <- outcome{violations, err}
	}()
	var o outcome
	select {
	case o = <-ended:
	case <-time.After(maxDuration):
		o.err = fmt.Errorf("%w: it takes too long", errCannotRun)
	}
	code := exitHeld
	for _, v := range o.violations {
		w.log("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
		code = exitBroken
	}
	if o.err != nil {
		w.log("%v", o.err)
		fmt.Fprintln(os.Stderr, o.err)
		if code = exitCannotRun; !errors.Is(o.err, errCannotRun) {
			fmt.Fprintln(os.Stderr, errCannotRun)
		}
	}
	if code == exitHeld {
		w.log("the rule held")
		fmt.Println("the rule held")
	}
	w.close(os.Getenv("KEEP_LOGS"))
	os.Exit(code)
}
