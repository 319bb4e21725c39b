package forwarder

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// endless is a reader without end that counts the bytes it has returned.
type endless struct{ given int }

func (e *endless) Read(p []byte) (int, error) {
	e.given += len(p)
	return len(p), nil
}

func TestReadAll_EndlessBodyIsBounded(t *testing.T) {
	m := newMemoryBudget(sharedBudgetBytes)
	e := &endless{}
	if _, err := m.readAll(e); !errors.Is(err, errResponseTooLarge) {
		t.Errorf("got %v, want errResponseTooLarge", err)
	}
	if e.given > maxResponseBytes+2*readSize {
		t.Errorf("%d bytes were read, more than the limit", e.given)
	}
	if m.available != sharedBudgetBytes {
		t.Errorf("%d bytes available, want all", m.available)
	}
}

func TestReadAll_LargeResponsesShareABudgetAndSmallOnesDoNotNeedIt(t *testing.T) {
	const large = 1 << 20
	m := newMemoryBudget(large)
	held := make(chan error)
	r, w := io.Pipe()
	go func() { _, err := m.readAll(r); held <- err }()
	if _, err := w.Write(make([]byte, large)); err != nil { // it stays in progress
		t.Fatal(err)
	}
	if _, err := m.readAll(bytes.NewReader(make([]byte, large))); !errors.Is(err, errBudgetExhausted) {
		t.Errorf("a second large response: %v, want errBudgetExhausted", err)
	}
	small := strings.Repeat("s", unbudgetedBytes-1)
	if body, err := m.readAll(strings.NewReader(small)); string(body) != small || err != nil {
		t.Errorf("a small response: %d bytes, %v", len(body), err)
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if err := <-held; err != nil {
		t.Error(err)
	}
	if m.available != large {
		t.Errorf("%d bytes available, want %d", m.available, large)
	}
}

func TestReadAll_CompleteBodyOrError(t *testing.T) {
	m := newMemoryBudget(1 << 20)
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("x"), rapid.IntRange(0, 4*readSize).Draw(t, "size"))
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "interrupted") {
			if _, err := m.readAll(io.MultiReader(r, iotest.ErrReader(io.ErrUnexpectedEOF))); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("interrupted body: got %v, want io.ErrUnexpectedEOF", err)
			}
			return
		}
		if got, err := m.readAll(r); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d of %d bytes, %v", len(got), len(want), err)
		}
	})
}
