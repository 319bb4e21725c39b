package drafter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/entry/drafter"
)

// FuzzParse checks that a draft from a page is either rejected or unchanged by
// encoding and parsing it again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":"a","base":1,"services":[{"name":"s"}]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"a":1e999,"b":[[[]]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := drafter.Parse(data)
		if err != nil {
			return
		}
		again, err := drafter.Parse([]byte(d.JSON()))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(d.JSON(), again.JSON()); diff != "" {
			t.Error(diff)
		}
		_, _ = d.Document()
	})
}
