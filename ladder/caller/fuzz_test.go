package caller

import (
	"bytes"
	"testing"
)

// FuzzReadEvents: a stream counts as whole only if its end was told.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("data: {\"text\":\"a\",\"tokens\":1,\"version\":2}\n\ndata: {\"done\":true}\n\n"))
	f.Add([]byte("data: {\"text\":\"a\"}\n\n"))
	f.Add([]byte("data: {\"done\":\"true\"}\n"))
	f.Add([]byte(": note\ndata:{}\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		pieces := 0
		err := readEvents(bytes.NewReader(stream), func(Chunk) error { pieces++; return nil })
		if err == nil && !bytes.Contains(bytes.ToLower(stream), []byte(`true`)) {
			t.Errorf("%q counts as whole", stream)
		}
		if pieces > bytes.Count(stream, []byte("data: ")) {
			t.Errorf("%d pieces in %q", pieces, stream)
		}
	})
}
