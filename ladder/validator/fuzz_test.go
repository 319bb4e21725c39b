package validator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// FuzzParse checks that Parse returns either faults or a valid document that
// is unchanged after encoding and parsing it again.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := validator.Parse(data)
		if err != nil {
			return
		}
		canonical, err := validator.Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := validator.Parse(canonical)
		if diff := cmp.Diff(d, again); diff != "" || err != nil {
			t.Errorf("%v (-first +second):\n%s", err, diff)
		}
	})
}
