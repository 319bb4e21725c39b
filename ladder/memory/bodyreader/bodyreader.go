// Package bodyreader reads request bodies into memory that has been reserved before.
package bodyreader

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/limitreader"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
)

// includedBytes is the part of a body that the reservation of its connection covers. It
// is also the first buffer for a body whose length is not announced.
const includedBytes = 4 << 10

// Reader reads request bodies.
type Reader struct {
	// Reservation grows by what the body holds. It is nil if there is no budget.
	Reservation *budgeter.Reservation
	// Connection is the one that brings the body. Its time limits are suspended while
	// the body waits for memory. It is nil if it is not bounded.
	Connection *connlimiter.Conn
}

// Read reads a body to its end. length is its announced length, or negative. It fails
// with limitreader.ErrTooLarge beyond maxBytes, with budgeter.ErrExhausted if there is no
// room and with connlimiter.ErrNoProgress.
func (d Reader) Read(ctx context.Context, r io.Reader, length, maxBytes int64) (body []byte, err error) {
	if d.Connection != nil {
		r = progressReader{r, d.Connection}
	}
	switch {
	case length > maxBytes:
		return nil, limitreader.ErrTooLarge
	case length < 0:
		return d.readUnannounced(ctx, r, maxBytes)
	}
	if err := d.grow(ctx, length-includedBytes); err != nil {
		return nil, err
	}
	body = make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readUnannounced reads a body whose length is not announced. Each new buffer is reserved
// in addition to the old one, which is held until its bytes have been copied.
func (d Reader) readUnannounced(ctx context.Context, r io.Reader, maxBytes int64) (body []byte, err error) {
	body = make([]byte, min(includedBytes, maxBytes))
	filled := 0
	for {
		if filled == len(body) {
			if int64(filled) >= maxBytes {
				return body, checkEnd(r)
			}
			if body, err = d.enlarge(ctx, body, maxBytes); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(body[filled:])
		filled += n
		if errors.Is(err, io.EOF) {
			return body[:filled], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// enlarge returns a buffer of twice the size with the bytes of the old one.
func (d Reader) enlarge(ctx context.Context, old []byte, maxBytes int64) ([]byte, error) {
	size := min(int64(len(old))*2, maxBytes)
	if err := d.grow(ctx, size); err != nil {
		return nil, err
	}
	larger := make([]byte, size)
	copy(larger, old)
	if len(old) > includedBytes {
		d.Reservation.Shrink(int64(len(old)))
	}
	return larger, nil
}

// progressReader tells a connection about the bytes of the body.
type progressReader struct {
	io.Reader
	connection *connlimiter.Conn
}

func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.connection.Progress(n)
	return n, err
}

func (d Reader) grow(ctx context.Context, n int64) error {
	if n <= 0 || d.Reservation.TryGrow(n) {
		return nil
	}
	if d.Connection != nil {
		defer d.Connection.PauseBody()()
	}
	return d.Reservation.Grow(ctx, n)
}

// checkEnd checks that a body ends.
func checkEnd(r io.Reader) error {
	var one [1]byte
	switch n, err := io.ReadFull(r, one[:]); {
	case n > 0:
		return limitreader.ErrTooLarge
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}
