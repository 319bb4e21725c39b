// Package limitreader reads what others send, up to a bound.
package limitreader

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge says that there is more than the bound.
var ErrTooLarge = errors.New("too large")

// ReadAll reads r to its end. Past most bytes it stops with ErrTooLarge: a sender in
// trouble may go on without end.
func ReadAll(r io.Reader, most int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err == nil && len(data) > most {
		return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", most)
	}
	return data, err
}
