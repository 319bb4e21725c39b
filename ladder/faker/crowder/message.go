package crowder

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// shortBy is the number of bytes that most clients leave out.
	shortBy = 100
	// endlessBytes is how much a client sends of lines that have no end.
	endlessBytes = 4 << 20
	// overlongHeadBytes is the size of a head, or of a line without end, that is far
	// over the limits of a configuration and just below that of the library.
	overlongHeadBytes = 1_000_000
	// pieceBytes is the size of a piece of a message that is sent piece by piece.
	pieceBytes = 10_000
	// smallChunkBytes is the payload of a very small chunk.
	smallChunkBytes = 2
)

// Message is what each client of a crowd sends.
type Message struct {
	// head returns the beginning of the n-th client's message.
	head func(n int) []byte
	// rest follows the head. All clients share it.
	rest []byte
	// pieceBytes is the size of each write; 0 means that all is written at once.
	pieceBytes int
	// endless is set if the message has no end that clients could stop short of.
	endless bool
}

// bytes returns what the n-th client writes.
func (m Message) bytes(n int) [][]byte {
	rest := m.rest
	if !m.endless && n%completeEvery != 0 {
		rest = rest[:len(rest)-shortBy]
	}
	if m.pieceBytes == 0 {
		return [][]byte{append(m.head(n), rest...)}
	}
	pieces := [][]byte{m.head(n)}
	for ; len(rest) > m.pieceBytes; rest = rest[m.pieceBytes:] {
		pieces = append(pieces, rest[:m.pieceBytes])
	}
	return append(pieces, rest)
}

// Request is the request whose parts a crowd exaggerates.
type Request struct {
	// Path and Host are those of a route.
	Path, Host string
	// Header returns further header lines of the n-th client, each with its end.
	Header func(n int) string
	// Body is the body, of legal size.
	Body []byte
}

func (r Request) head(n int, length string) []byte {
	header := ""
	if r.Header != nil {
		header = r.Header(n)
	}
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", r.Path, r.Host, header, length)
}

// WholeBodies sends each body in one write.
func (r Request) WholeBodies() Message {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	return Message{head: func(n int) []byte { return r.head(n, length) }, rest: r.Body}
}

// BodiesInPieces sends each body in many writes.
func (r Request) BodiesInPieces() Message {
	m := r.WholeBodies()
	m.pieceBytes = pieceBytes
	return m
}

// LargeChunks sends each body as one chunk.
func (r Request) LargeChunks() Message { return r.chunks(len(r.Body)) }

// SmallChunks sends each body as chunks of a few bytes.
func (r Request) SmallChunks() Message { return r.chunks(smallChunkBytes) }

func (r Request) chunks(size int) Message {
	var rest bytes.Buffer
	for body := r.Body; len(body) > 0; {
		n := min(size, len(body))
		fmt.Fprintf(&rest, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	rest.WriteString("0\r\n\r\n")
	return Message{head: func(n int) []byte { return r.head(n, "Transfer-Encoding: chunked\r\n") }, rest: rest.Bytes(), pieceBytes: pieceBytes}
}

// OverlongHeads sends heads that are far over the limit.
func (r Request) OverlongHeads() Message {
	const lines = 10
	line := strings.Repeat("a", overlongHeadBytes/lines)
	var rest strings.Builder
	for n := range lines {
		fmt.Fprintf(&rest, "X-Line-%d: %s\r\n", n, line)
	}
	rest.WriteString("\r\n")
	return Message{head: r.openHead, rest: []byte(rest.String())}
}

// EndlessHeaderLine sends heads with a line that has no end.
func (r Request) EndlessHeaderLine() Message {
	return Message{head: r.openHead, rest: append([]byte("X-Line: "), bytes.Repeat([]byte("a"), overlongHeadBytes)...), endless: true, pieceBytes: pieceBytes}
}

// EndlessHeaderLines sends heads whose short lines have no end.
func (r Request) EndlessHeaderLines() Message {
	const line = "A: b\r\n"
	return Message{head: r.openHead, rest: bytes.Repeat([]byte(line), endlessBytes/len(line)), endless: true, pieceBytes: pieceBytes}
}

// EndlessEmptyLines sends empty lines without end in place of a request.
func (r Request) EndlessEmptyLines() Message {
	const line = "\r\n"
	return Message{head: func(int) []byte { return nil }, rest: bytes.Repeat([]byte(line), endlessBytes/len(line)), endless: true, pieceBytes: pieceBytes}
}

// openHead returns a head without its end.
func (r Request) openHead(n int) []byte {
	head := r.head(n, "")
	return head[:len(head)-len("\r\n")]
}
