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

// exampleAddress stands for the fake entry in commands and output.
const exampleAddress = "127.0.0.1:7003"

// run runs one command line beside the files of testdata/files and returns
// what it wrote, with the exit code as the last line.
func run(t *testing.T, command, entry string) (written string, code int) {
	t.Helper()
	words := strings.Fields(strings.ReplaceAll(command, exampleAddress, entry))
	var out bytes.Buffer
	code = Main(words[1:], &out, &out)
	fmt.Fprintf(&out, "exit %d\n", code)
	return strings.ReplaceAll(out.String(), entry, exampleAddress), code
}

// Each case directory holds a command and what it must write.
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
			got, _ := run(t, string(command), entry)
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

// Every example that --help shows runs.
func TestMain_HelpExamplesRun(t *testing.T) {
	entry := startEntry(t)
	t.Setenv("LYCHEELADDER_KEY", "operator")
	t.Chdir("testdata/files")
	for _, l := range table {
		help, _ := run(t, "ladderctl "+l.name+" --help", entry)
		examples := 0
		for text := range strings.Lines(l.verb().Help()) {
			example := strings.TrimSpace(text)
			if !strings.HasPrefix(example, "ladderctl ") {
				continue
			}
			examples++
			if !strings.Contains(help, example) {
				t.Errorf("%s --help doesn't show %q:\n%s", l.name, example, help)
			}
			// The fake entry is ahead of document.json, so a plain publish of
			// it ends in a conflict, as it should.
			written, code := run(t, strings.ReplaceAll(example, "127.0.0.1:7013", entry), entry)
			if code != starter.ExitOK && (l.name != "publish" || code != exitConflict) {
				t.Errorf("%s:\n%s", example, written)
			}
		}
		if examples == 0 {
			t.Errorf("%s --help has no example", l.name)
		}
	}
}
