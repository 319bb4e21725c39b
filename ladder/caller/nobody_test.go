package caller

import "testing"

// Guards against a panic on a response that has no body.
func TestHTTPTarget_ResponsesWithoutBody(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		for _, engine := range []bool{false, true} {
			h := NewHTTPTarget(newBackend(t, respondWith("HTTP/1.1 "+status+"\r\n\r\n")).address, engine)
			if _, err := h.Do(t.Context(), Work{Request: "r", Call: "c", Body: []byte("{}")}, discard); err != nil {
				t.Errorf("%s: %v", status, err)
			}
			if _, err := h.State(t.Context()); err == nil {
				t.Errorf("%s is taken for a state", status)
			}
		}
	}
}
