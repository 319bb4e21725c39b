package serializer

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// record has a field of each kind that stored values have.
type record struct {
	Text    string            `cbor:"1,keyasint"`
	Data    []byte            `cbor:"2,keyasint"`
	Number  uint64            `cbor:"3,keyasint"`
	Time    int64             `cbor:"4,keyasint"`
	Headers map[string]string `cbor:"5,keyasint"`
	List    []record          `cbor:"6,keyasint"`
	Left    string            `cbor:"7,keyasint,omitempty"`
}

// anyText is text as callers and targets may send it, UTF-8 or not.
var anyText = rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })

func recordOf(depth int) *rapid.Generator[record] {
	return rapid.Custom(func(t *rapid.T) record {
		r := record{
			Text: anyText.Draw(t, "text"), Data: rapid.SliceOf(rapid.Byte()).Draw(t, "data"),
			Number: rapid.Uint64().Draw(t, "number"), Time: rapid.Int64().Draw(t, "time"),
			Headers: rapid.MapOf(anyText, anyText).Draw(t, "headers"), Left: anyText.Draw(t, "left"),
		}
		if depth > 0 {
			r.List = rapid.SliceOfN(recordOf(depth-1), 0, 3).Draw(t, "list")
		}
		return r
	})
}

// Guards against values that a writer stores and no reader can decode.
func TestEncode_WhatIsEncodedCanBeDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := recordOf(2).Draw(t, "record")
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		var got record
		if err := Decode(data, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against lists and maps that are longer than a reader's default limit.
func TestEncode_ManyElementsCanBeDecoded(t *testing.T) {
	const elements = 140_000
	want := make(map[int]int, elements)
	for n := range elements {
		want[n] = n
	}
	for _, value := range []any{make([]int, elements), want} {
		data, err := Encode(value)
		if err != nil {
			t.Fatal(err)
		}
		var got any
		if err := Decode(data, &got); err != nil {
			t.Error(err)
		}
	}
}

// Guards against values beyond the limits of readers that a writer stores all the same.
func TestEncode_RefusesWhatReadersReject(t *testing.T) {
	var value any
	for range maxNesting + 1 {
		value = []any{value}
	}
	if _, err := Encode(value); !errors.Is(err, ErrUnreadable) {
		t.Errorf("got %v, want %v", err, ErrUnreadable)
	}
}
