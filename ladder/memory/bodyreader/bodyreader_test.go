package bodyreader_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/limitreader"
	"github.com/lycheeladder/lycheeladder/ladder/memory/bodyreader"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
)

const maxBytes = 100_000

// Guards against a body that is cut, and against one beyond the limit that is accepted.
func TestRead_WholeBodyOrError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("x"), rapid.IntRange(0, maxBytes+2).Draw(t, "size"))
		length := int64(len(want))
		if rapid.Bool().Draw(t, "unannounced") {
			length = -1
		}
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		b := budgeter.New(clockwork.NewRealClock(), 1<<20)
		held := b.Open(nil)
		body, err := bodyreader.Reader{Reservation: held}.Read(context.Background(), r, length, maxBytes)
		switch {
		case len(want) > maxBytes:
			if !errors.Is(err, limitreader.ErrTooLarge) {
				t.Fatalf("%d bytes: %v", len(want), err)
			}
		case err != nil || !bytes.Equal(want, body):
			t.Fatalf("%d of %d bytes, %v", len(body), len(want), err)
		case b.Status().Held < int64(len(want))-(4<<10):
			t.Fatalf("%d bytes held for %d", b.Status().Held, len(want))
		}
		held.Release()
		if n := b.Status().Held; n != 0 {
			t.Fatalf("%d bytes are still held", n)
		}
	})
}

// Guards against bytes that are read before there is room for them.
func TestRead_ReadsNothingWithoutRoom(t *testing.T) {
	b := budgeter.New(clockwork.NewRealClock(), 1<<20)
	b.Hold(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for length, mostRead := range map[int64]int{80_000: 0, -1: 64 << 10} {
		r := strings.NewReader(strings.Repeat("x", 80_000))
		if _, err := (bodyreader.Reader{Reservation: b.Open(nil)}).Read(ctx, r, length, maxBytes); !errors.Is(err, budgeter.ErrExhausted) {
			t.Errorf("length %d: %v", length, err)
		}
		if read := 80_000 - r.Len(); read > mostRead {
			t.Errorf("length %d: %d bytes were read", length, read)
		}
	}
}

// maxFuzzBytes keeps inputs small. It exceeds the first buffers.
const maxFuzzBytes = 10_000

// FuzzRead reads requests as they arrive. A body must be what the library makes of it, and
// its memory must be counted.
func FuzzRead(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ntext"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;a=b\r\nx\r\n", 900) + "0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\nx"))
	f.Add(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxFuzzBytes, strings.Repeat("x", maxFuzzBytes-1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
			if err != nil {
				return nil
			}
			return r
		}
		r := parse()
		if r == nil {
			return
		}
		want, wantErr := io.ReadAll(io.LimitReader(r.Body, maxFuzzBytes+1))
		r = parse()
		b := budgeter.New(clockwork.NewRealClock(), 1<<20)
		held := b.Open(nil)
		body, err := bodyreader.Reader{Reservation: held}.Read(context.Background(), r.Body, r.ContentLength, maxFuzzBytes)
		if accepted := wantErr == nil && len(want) <= maxFuzzBytes; accepted != (err == nil) {
			t.Fatalf("got %v, the library %d bytes, %v", err, len(want), wantErr)
		}
		if diff := cmp.Diff(string(want), string(body)); err == nil && diff != "" {
			t.Fatal(diff)
		}
		if n := b.Status().Held; err == nil && n < int64(len(body))-(4<<10) {
			t.Fatalf("%d bytes held for %d", n, len(body))
		}
	})
}
