package validator_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// TestMain sets a fixed seed for the property tests, so that every run has the
// same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var update = flag.Bool("update", false, "write the actual faults to the case directories; review the diff before committing it")

// Each case directory holds a document and the expected faults, one per line.
// An empty file means that the document is valid.
func TestParse_CaseDirectories(t *testing.T) {
	cases, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(cases) < 25 {
		t.Fatalf("%d cases, want 25 or more: %v", len(cases), err)
	}
	for _, c := range cases {
		t.Run(filepath.Base(c), func(t *testing.T) {
			document, err := os.ReadFile(filepath.Join(c, "document.json"))
			if err != nil {
				t.Fatal(err)
			}
			_, err = validator.Parse(document)
			got := ""
			var faults validator.Faults
			if errors.As(err, &faults) {
				got = faults.Error() + "\n"
			}
			file := filepath.Join(c, "expected-faults")
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
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

// Parse must return either faults or a document that is unchanged after
// encoding and parsing it again.
func TestParse_FaultsOrRoundTrip(t *testing.T) {
	valid, err := os.ReadFile("testdata/cases/valid/document.json")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), valid...)
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte(`{}[]":,019az-n `)).Draw(t, "byte")
		}
		d, err := validator.Parse(data)
		if err != nil {
			return
		}
		encoded, err := validator.Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := validator.Parse(encoded)
		if err != nil {
			t.Fatalf("a valid document is rejected after encoding it: %v", err)
		}
		if diff := cmp.Diff(d, again); diff != "" {
			t.Errorf("round trip (-want +got):\n%s", diff)
		}
	})
}
