package runner

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/tabulator"
)

// The table of settings in docs/OPERATIONS.md is generated from Settings. After a
// change, run: make pages
func TestSettings_PageIsCurrent(t *testing.T) {
	table, err := tabulator.SettingsTable("entry", &Settings{})
	if err != nil {
		t.Fatal(err)
	}
	want, got, err := tabulator.ComparePage("../../docs/OPERATIONS.md", "settings of entry", table, os.Getenv("UPDATE_PAGES") != "")
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("page is not current, %v (-want +got):\n%s", err, diff)
	}
}
