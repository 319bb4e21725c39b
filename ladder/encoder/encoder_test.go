package encoder

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// generators has a generator for every message type.
var generators = []*rapid.Generator[messenger.Message]{
	anyOf[messenger.Hello](), anyOf[messenger.Heartbeat](), anyOf[messenger.Start](), anyOf[messenger.Cancel](),
	anyOf[messenger.Resume](), anyOf[messenger.Release](), anyOf[messenger.Configuration](), anyOf[messenger.Chunk](),
	anyOf[messenger.End](), anyOf[messenger.Refused](), anyOf[messenger.Crashed](), anyOf[messenger.Locate](), anyOf[messenger.Located](),
	anyOf[messenger.Question](), anyOf[messenger.Reply](),
}

func anyOf[M messenger.Message]() *rapid.Generator[messenger.Message] {
	return rapid.Map(rapid.Make[M](), func(m M) messenger.Message { return m })
}

func newEncoder(t interface{ Fatal(...any) }) *Encoder {
	e, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestEncoder_RoundTripOfEveryKind(t *testing.T) {
	e := newEncoder(t)
	seen := make(map[reflect.Type]bool)
	rapid.Check(t, func(t *rapid.T) {
		for _, g := range generators {
			want := g.Draw(t, "message")
			seen[reflect.TypeOf(want)] = true
			frame, err := e.Encode(want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := e.Decode(frame)
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
				t.Fatalf("%v (-want +got):\n%s", err, diff)
			}
		}
	})
	for _, m := range messageTypes {
		if !seen[reflect.TypeOf(m)] {
			t.Errorf("%T has no generator", m)
		}
	}
}

// FuzzDecode checks that a frame is either rejected, or decodes to a message
// that survives re-encoding.
func FuzzDecode(f *testing.F) {
	e := newEncoder(f)
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := e.Decode(frame)
		if err != nil {
			return
		}
		reencoded, err := e.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := e.Decode(reencoded)
		if diff := cmp.Diff(m, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
			t.Errorf("%v (-first +second):\n%s", err, diff)
		}
	})
}
