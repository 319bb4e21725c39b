package fieldchecker

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// Guards against names that are no tokens, and against values that another client could cut or split.
func TestParse(t *testing.T) {
	for line, want := range map[string][]string{
		"Content-Length: 5":              {"Content-Length", "5"},
		"x-!#$%&'*+.^_`|~09:\t a: b \t":  {"x-!#$%&'*+.^_`|~09", "a: b"},
		"X-A:":                           {"X-A", ""},
		"X-A: \x80\xff\ta":               {"X-A", "\x80\xff\ta"},
		"":                               nil,
		":":                              nil,
		"X-A":                            nil,
		"X-A : b":                        nil,
		" X-A: b":                        nil,
		"X A: b":                         nil,
		"X\xc3\xa4: b":                   nil,
		"X-A: b\r":                       nil,
		"X-A: b\x00":                     nil,
		"X-A: b\nX-B: c":                 nil,
		"X-A: b\x1fc":                    nil,
		"X-A: b\x7f":                     nil,
		"X(A: b":                         nil,
		"\"X-A\": b":                     nil,
		"Transfer-Encoding\x0b: chunked": nil,
	} {
		field, err := Parse([]byte(line))
		if want == nil {
			if !errors.Is(err, ErrInvalid) {
				t.Errorf("%q: %+v, %v, want ErrInvalid", line, field, err)
			}
			continue
		}
		if diff := cmp.Diff(want, []string{string(field.Name), string(field.Value)}); diff != "" || err != nil {
			t.Errorf("%q: %v\n%s", line, err, diff)
		}
	}
}
