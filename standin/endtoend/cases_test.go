package endtoend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	entry "github.com/lycheeladder/lycheeladder/entry/runner"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	sidecar "github.com/lycheeladder/lycheeladder/sidecar/runner"
	standin "github.com/lycheeladder/lycheeladder/standin/runner"
)

// mainFunctions holds the main function of each program.
var mainFunctions = map[string]func(arguments []string, stdout, stderr io.Writer) int{
	"entry": entry.Main, "sidecar": sidecar.Main, "standin": standin.Main,
}

// runInProcess runs a command line in the test process. The output contains
// standard output and standard error.
func runInProcess(arguments []string) (output string, code int) {
	var buffer bytes.Buffer
	code = mainFunctions[arguments[0]](arguments[1:], &buffer, &buffer)
	return buffer.String(), code
}

// TestCases runs the command in each testdata/cases/NAME/cmd and compares its
// output and exit code with expected-output.
func TestCases(t *testing.T) {
	commands, err := filepath.Glob(filepath.Join("testdata", "cases", "*", "cmd"))
	if err != nil || len(commands) == 0 {
		t.Fatalf("no test cases found, err %v", err)
	}
	for _, path := range commands {
		t.Run(filepath.Base(filepath.Dir(path)), func(t *testing.T) {
			command, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile(filepath.Join(filepath.Dir(path), "expected-output"))
			if err != nil {
				t.Fatal(err)
			}
			output, code := runInProcess(strings.Fields(string(command)))
			if diff := cmp.Diff(string(want), fmt.Sprintf("%sexit code %d\n", output, code)); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

func TestHelp_ReadsAsManual(t *testing.T) {
	for name := range mainFunctions {
		output, code := runInProcess([]string{name, "--help"})
		if code != starter.ExitOK || !strings.HasPrefix(output, "Usage: "+name) || !strings.Contains(output, "($LYCHEELADDER_LOG_VERBOSITY)") {
			t.Errorf("%s --help: exit code %d:\n%s", name, code, output)
		}
	}
}

func TestAddressInUse_RefusedAtOnce(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	address := occupied.Addr().String()
	for _, command := range []string{
		"entry --name e --zone z --peer-listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 --log 127.0.0.1:1 --listen ",
		"sidecar --target t --service s --kind plain --zone z --address 127.0.0.1:1 --entry 127.0.0.1:1 --listen ",
		"standin log --listen ",
	} {
		output, code := runInProcess(strings.Fields(command + address))
		if code != starter.ExitFailure || strings.Count(output, "\n") != 1 || !strings.Contains(output, address) {
			t.Errorf("%s%s: exit code %d:\n%s", command, address, code, output)
		}
	}
}
