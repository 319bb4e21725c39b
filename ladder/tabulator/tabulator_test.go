package tabulator_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/tabulator"
)

const pageFile = "../../docs/OPERATIONS.md"

// Run "make pages" after changing the codes.
func TestCodes_PageIsCurrent(t *testing.T) {
	want, got, err := tabulator.ComparePage(pageFile, "codes", tabulator.CodesTable(), os.Getenv("UPDATE_PAGES") != "")
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("page is not current, %v (-want +got):\n%s", err, diff)
	}
}

// Every code, log event and counter in the sources of the programs must be
// documented.
func TestPage_DocumentsCodesEventsAndCounters(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	source := sources(t)
	for _, m := range regexp.MustCompile(`(?:Code|Refusal) += "([a-z-]+)"`).FindAllStringSubmatch(source, -1) {
		if explainer.MeaningByCode(m[1]).Meaning == "" {
			t.Errorf("code %q has no line in explainer.Meanings", m[1])
		}
	}
	for _, pattern := range []string{`klog\.(?:V\(\d\)\.)?(?:InfoS|ErrorS)\((?:err, |nil, )?"([^"]+)"`, `\.Count\("([^"]+)"`} {
		for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(source, -1) {
			if !strings.Contains(string(page), "`"+m[1]) {
				t.Errorf("%q has no line in %s", m[1], pageFile)
			}
		}
	}
}

// sources returns the sources of the programs without tests.
func sources(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for _, module := range []string{"ladder", "entry", "sidecar", "platform"} {
		err := filepath.WalkDir("../../"+module, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			b.Write(data)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return b.String()
}
