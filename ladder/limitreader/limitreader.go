// Package limitreader reads data from other processes up to a size limit.
package limitreader

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge means that the data exceeds the limit.
var ErrTooLarge = errors.New("too large")

// ReadAll reads r to its end. It stops with ErrTooLarge after maxBytes bytes, because
// a faulty sender may never stop.
func ReadAll(r io.Reader, maxBytes int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err == nil && len(data) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", maxBytes)
	}
	return data, err
}
