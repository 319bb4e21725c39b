// Package annotator adds the failed step and the value involved to an error in a
// deferred call.
package annotator

import "github.com/pkg/errors"

// Annotate wraps *err with the formatted message if *err is not nil. It is meant to
// be deferred in a function with a named error result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = errors.WithMessagef(*err, format, args...)
	}
}
