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

// endless gives bytes for ever and counts them.
type endless struct{ given int }

func (e *endless) Read(p []byte) (int, error) {
	e.given += len(p)
	return len(p), nil
}

func TestReadAll_ABodyWithoutEndIsBounded(t *testing.T) {
	m := newRoom(sharedAnswerBytes)
	e := &endless{}
	if _, err := m.readAll(e); !errors.Is(err, errAnswerTooLarge) {
		t.Errorf("%v", err)
	}
	if e.given > maxAnswerBytes+2*readBytes {
		t.Errorf("%d bytes were read", e.given)
	}
	if m.left != sharedAnswerBytes {
		t.Errorf("%d bytes of room are left, want all", m.left)
	}
}

func TestReadAll_LargeAnswersShareTheirRoomAndSmallOnesAlwaysFind(t *testing.T) {
	const large = 1 << 20
	m := newRoom(large)
	held := make(chan error)
	r, w := io.Pipe()
	go func() { _, err := m.readAll(r); held <- err }()
	if _, err := w.Write(make([]byte, large)); err != nil { // it stays under way
		t.Fatal(err)
	}
	if _, err := m.readAll(bytes.NewReader(make([]byte, large))); !errors.Is(err, errNoRoom) {
		t.Errorf("a second large answer: %v", err)
	}
	small := strings.Repeat("s", freeAnswerBytes-1)
	if body, err := m.readAll(strings.NewReader(small)); string(body) != small || err != nil {
		t.Errorf("a small answer: %d bytes, %v", len(body), err)
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if err := <-held; err != nil {
		t.Error(err)
	}
	if m.left != large {
		t.Errorf("%d bytes of room are left, want %d", m.left, large)
	}
}

func TestReadAll_WholeOrAnError(t *testing.T) {
	m := newRoom(1 << 20)
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("x"), rapid.IntRange(0, 4*readBytes).Draw(t, "size"))
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "breaks off") {
			if _, err := m.readAll(io.MultiReader(r, iotest.ErrReader(io.ErrUnexpectedEOF))); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("broken off: %v", err)
			}
			return
		}
		if got, err := m.readAll(r); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d bytes of %d, %v", len(got), len(want), err)
		}
	})
}
