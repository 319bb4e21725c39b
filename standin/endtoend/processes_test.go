// Package endtoend tests the programs as separate processes on loopback, which it
// kills, suspends, disconnects and restarts.
package endtoend

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker/listener"
)

const (
	// conditionTimeout bounds each wait for a condition. It only ends hung tests;
	// no check depends on its value.
	conditionTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// binDirectory holds the programs under test.
var binDirectory string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "lycheeladder")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binDirectory = directory
	build := exec.Command("go", "build", "-o", directory+"/", "./entry", "./sidecar", "./standin")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %s\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is a running program. It can be launched again with the same arguments.
type process struct {
	t         *testing.T
	program   string
	arguments []string
	logPath   string
	command   *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

func startProcess(t *testing.T, program string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, program: program, arguments: arguments, logPath: filepath.Join(t.TempDir(), program+".log")}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %s:\n%s", program, strings.Join(arguments, " "), tail(p.readLog()))
		}
	})
	p.launch()
	return p
}

// launch starts the program and waits until it logs that it has started or
// listens.
func (p *process) launch() {
	p.t.Helper()
	log, err := os.Create(p.logPath)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	p.command = exec.Command(filepath.Join(binDirectory, p.program), p.arguments...)
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.exited = ended
	go func() {
		_ = p.command.Wait()
		close(ended)
	}()
	started, listening := p.hasLogged(" started"), p.hasLogged("listening")
	eventually(p.t, p.program+" to start", func() bool { return started() || listening() })
}

// hasLogged returns a condition that holds once the program has logged text.
func (p *process) hasLogged(text string) func() bool {
	return func() bool { return strings.Contains(p.readLog(), text) }
}

func (p *process) readLog() string {
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(log)
}

func tail(log string) string {
	const maxBytes = 3000
	return log[max(0, len(log)-maxBytes):]
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s to %s: %s", s, p.program, err)
	}
}

// kill ends the process with SIGKILL, as a crash would, and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// stop ends the process with SIGTERM, waits for its exit and checks that the exit
// code is 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	eventually(p.t, p.program+" to stop", func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	})
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s stopped with exit code %d:\n%s", p.program, code, tail(p.readLog()))
	}
}

func waitPollInterval() { time.Sleep(pollInterval) }

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); waitPollInterval() {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", description)
}

// freeAddresses returns loopback addresses whose ports are free.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		addresses = append(addresses, listener.FreeAddress(t))
	}
	return addresses
}
