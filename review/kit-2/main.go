// Command review-2 plays a case of the second review: it starts the program of the deploy file
// as several processes, with stand-ins of the platform's store, of workers and of clients, and
// exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	start time.Time
	mutex sync.Mutex
	file  *os.File
}

func (r *recorder) line(what string, fields ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), what)
	for n := 0; n+1 < len(fields); n += 2 {
		text += fmt.Sprintf(" %v=%v", fields[n], fields[n+1])
	}
	_, _ = fmt.Fprintln(r.file, text)
}

// cases has the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(s *stage) (broken bool, err error){
	"memory-of-jobs":  playMemoryOfJobs,
	"full-store":      playFullStore,
	"popular":         playPopularRequest,
	"late-submission": playLateSubmission,
	"weights":         playWeights,
	"many-items":      playManyItems,
	"software":        playSoftware,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", folder)
	}
	s := &stage{folder: folder, record: &recorder{start: time.Now(), file: file}, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	defer s.close()
	broken, err := cases[arguments[0]](s)
	switch {
	case err != nil:
		s.record.line("not run", "error", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		s.record.line("rule broken")
		return exitBroken
	}
	s.record.line("rule held")
	return exitHeld
}
