package limitreader_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/limitreader"
)

func TestReadAll_UpToTheLimit(t *testing.T) {
	const maxBytes = 4
	for text, tooLarge := range map[string]bool{"": false, "abcd": false, "abcde": true} {
		data, err := limitreader.ReadAll(strings.NewReader(text), maxBytes)
		if errors.Is(err, limitreader.ErrTooLarge) != tooLarge || (err != nil) != tooLarge {
			t.Errorf("%q: %v", text, err)
		}
		if diff := cmp.Diff(text, string(data)); !tooLarge && diff != "" {
			t.Error(diff)
		}
	}
}
