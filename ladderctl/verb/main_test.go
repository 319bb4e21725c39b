package verb

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// exampleEntryAddress is the address in commands and expected output. It is
// replaced by the fake entry's real address to run a command, and put back in the
// output.
const exampleEntryAddress = "127.0.0.1:7003"

// runCommandLine runs one command line in the current directory and returns its
// output, with the exit code as the last line.
func runCommandLine(t *testing.T, command, entry string) (output string, code int) {
	t.Helper()
	arguments := strings.Fields(strings.ReplaceAll(command, exampleEntryAddress, entry))
	var out bytes.Buffer
	code = Main(arguments[1:], &out, &out)
	fmt.Fprintf(&out, "exit %d\n", code)
	return strings.ReplaceAll(out.String(), entry, exampleEntryAddress), code
}

// Each case directory holds a command and its expected output.
func TestMain_CaseOutputs(t *testing.T) {
	cases, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(cases) < 20 {
		t.Fatalf("%d cases, want 20 or more: %v", len(cases), err)
	}
	root, err := filepath.Abs(".")
	if err != nil {
		t.Fatal(err)
	}
	entry := startEntry(t)
	t.Setenv("LYCHEELADDER_KEY", "operator")
	t.Chdir("testdata/files")
	for _, c := range cases {
		t.Run(filepath.Base(c), func(t *testing.T) {
			command, err := os.ReadFile(filepath.Join(root, c, "cmd"))
			if err != nil {
				t.Fatal(err)
			}
			got, _ := runCommandLine(t, string(command), entry)
			file := filepath.Join(root, c, "expected-output")
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

// Every example in the output of --help must run successfully.
func TestMain_HelpExamplesRun(t *testing.T) {
	entry := startEntry(t)
	t.Setenv("LYCHEELADDER_KEY", "operator")
	t.Chdir("testdata/files")
	for _, c := range commands {
		help, _ := runCommandLine(t, "ladderctl "+c.name+" --help", entry)
		examples := 0
		for text := range strings.Lines(c.newVerb().Help()) {
			example := strings.TrimSpace(text)
			if !strings.HasPrefix(example, "ladderctl ") {
				continue
			}
			examples++
			if !strings.Contains(help, example) {
				t.Errorf("%s --help doesn't show %q:\n%s", c.name, example, help)
			}
			// The revision in force at the fake entry is newer than the base of
			// document.json, so publish without --rebase must report a conflict.
			output, code := runCommandLine(t, strings.ReplaceAll(example, "127.0.0.1:7013", entry), entry)
			if code != starter.ExitOK && (c.name != "publish" || code != exitConflict) {
				t.Errorf("%s:\n%s", example, output)
			}
		}
		if examples == 0 {
			t.Errorf("%s --help has no example", c.name)
		}
	}
}
