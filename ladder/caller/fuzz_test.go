package caller

import (
	"bytes"
	"testing"
)

// A stream counts as complete only if it contains the end marker.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("data: {\"text\":\"a\",\"tokens\":1,\"version\":2}\n\ndata: {\"done\":true}\n\n"))
	f.Add([]byte("data: {\"text\":\"a\"}\n\n"))
	f.Add([]byte("data: {\"done\":\"true\"}\n"))
	f.Add([]byte(": note\ndata:{}\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		chunks := 0
		err := readEvents(bytes.NewReader(stream), func(Chunk) error { chunks++; return nil })
		if err == nil && !bytes.Contains(bytes.ToLower(stream), []byte(`true`)) {
			t.Errorf("%q counts as complete", stream)
		}
		if chunks > bytes.Count(stream, []byte("data: ")) {
			t.Errorf("%d chunks in %q", chunks, stream)
		}
	})
}
