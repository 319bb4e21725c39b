// Package annotator adds the step and the offending value to an error, once,
// in a deferred call.
package annotator

import "github.com/pkg/errors"

// Annotate wraps *err with the formatted message when *err is not nil. It is
// meant for a deferred call on a named result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = errors.WithMessagef(*err, format, args...)
	}
}
