// Package fieldchecker rejects the lines of a head or trailer section that are not fields of HTTP.
//
// Clients differ in what they make of such a line. Some take "Content-Length : 5" for a length, others
// for a field of another name, so that they disagree on where the body ends.
package fieldchecker

import (
	"bytes"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that a line is no field. Nothing of its head can be believed.
var ErrInvalid = errors.New("field of the response is invalid")

// Field is a field of a head. It is valid as long as the line that it was parsed from.
type Field struct {
	Name, Value []byte
}

// Parse returns the field on a line, which is given without its line ending. It returns ErrInvalid
// unless the name is a token (RFC 9110, 5.1 and 5.6.2) that the colon follows at once, and the value
// has no control characters other than tabs (5.5). Folded lines (obs-fold, RFC 9112, 5.2) are rejected.
func Parse(line []byte) (Field, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return Field{}, errors.Wrapf(ErrInvalid, "name in %.40q", line)
	}
	if err := CheckText(string(value)); err != nil {
		return Field{}, err
	}
	return Field{Name: name, Value: bytes.Trim(value, " \t")}, nil
}

// CheckText returns ErrInvalid if the value of a field, or the reason in a status line, has control
// characters other than tabs.
func CheckText(text string) error {
	if !httpguts.ValidHeaderFieldValue(text) {
		return errors.Wrapf(ErrInvalid, "value %.40q", text)
	}
	return nil
}
