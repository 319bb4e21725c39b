package runner

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/tabulator"
)

// The table of settings in docs/OPERATIONS.md is made from Settings. After a
// change: UPDATE_PAGES=1 go test ./sidecar/runner -run Settings
func TestSettings_PageIsCurrent(t *testing.T) {
	const pageFile = "../../docs/OPERATIONS.md"
	data, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	table, err := tabulator.Settings("sidecar", &Settings{})
	if err != nil {
		t.Fatal(err)
	}
	want, err := tabulator.Put(string(data), "settings of sidecar", table)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("UPDATE_PAGES") != "" {
		if err := os.WriteFile(pageFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, string(data)); diff != "" {
		t.Errorf("%s is not current (-want +got):\n%s", pageFile, diff)
	}
}
