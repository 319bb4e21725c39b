// Package spoiler provides responses with malformed heads and trailers, to simulate faulty servers.
package spoiler

import (
	"fmt"
	"maps"
	"strings"
)

const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// lines are lines of a head that are not fields.
var lines = map[string]string{
	"blank inside a name":          "X A: b",
	"blank before the colon":       "X-A : b",
	"tab before the colon":         "X-A\t: b",
	"length with a blank":          "Content-Length : 1",
	"length with an inner blank":   "Content Length: 1",
	"encoding with a blank":        "Transfer-Encoding : chunked",
	"connection with a blank":      "Connection : close",
	"control character in a name":  "X\x01A: b",
	"NUL in a name":                "X\x00A: b",
	"CR in a name":                 "X\rA: b",
	"DEL in a name":                "X\x7fA: b",
	"byte above 127 in a name":     "X\xe9: b",
	"no name":                      ": b",
	"no colon":                     "X-A",
	"blank before the name":        " X-A: b",
	"continued line":               " b",
	"line continued after a tab":   "\tb",
	"value continued":              "X-A: b\r\n c",
	"value continued after a tab":  "X-A: b\r\n\tc",
	"value continued with a field": "X-A: b\r\n Content-Length: 1",
	"only blanks":                  "  ",
	"CR in a value":                "X-A: b\rX-B: c",
	"CR at the end of a value":     "X-A: b\r",
	"NUL in a value":               "X-A: b\x00c",
	"LF in a value":                "X-A: b\nX-B: c",
	"control character in a value": "X-A: b\x01c",
	"DEL in a value":               "X-A: b\x7fc",
}

// separators are characters that no token has.
const separators = `()<>@,;\"/[]?={}`

// Responses holds variants of a response, each with one malformed line.
type Responses struct {
	// Heads have it in the head, or in an interim response before it.
	Heads map[string]string
	// Trailers have it behind the body.
	Trailers map[string]string
}

// Spoil returns variants of a response that has a Content-Length.
func Spoil(whole string) Responses {
	r := Responses{Heads: make(map[string]string), Trailers: make(map[string]string)}
	status, rest, _ := strings.Cut(whole, lineEnd)
	head, body, _ := strings.Cut(whole, headEnd)
	all := maps.Clone(lines)
	for _, c := range separators {
		all[fmt.Sprintf("%c in a name", c)] = fmt.Sprintf("X%cA: b", c)
	}
	for name, line := range all {
		r.Heads[name+", first"] = status + lineEnd + line + lineEnd + rest
		r.Heads[name+", last"] = head + lineEnd + line + headEnd + body
		r.Heads[name+", in an interim response"] = "HTTP/1.1 103 Early Hints" + lineEnd + line + headEnd + whole
		r.Trailers[name] = InChunks(whole, line+lineEnd)
	}
	r.Heads["LF in place of CRLF"] = strings.ReplaceAll(head+headEnd, lineEnd, "\n") + body
	r.Heads["LF after the status line"] = status + "\n" + rest
	r.Heads["LF at the end of the head"] = head + "\n\n" + body
	r.Heads["LF as the empty line"] = head + lineEnd + "\n" + body
	r.Heads["CR in the status line"] = status + "\rX-A: b" + lineEnd + rest
	r.Heads["NUL in the status line"] = status + "\x00" + lineEnd + rest
	r.Heads["an empty line first"] = lineEnd + whole
	r.Trailers["LF as the empty line"] = strings.TrimSuffix(InChunks(whole, "X-A: b"+lineEnd), lineEnd) + "\n"
	return r
}

// InChunks returns a response that has a Content-Length with its body in one chunk in place of it,
// and with the given trailer section.
func InChunks(whole, trailers string) string {
	head, body, _ := strings.Cut(whole, headEnd)
	head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", 1)
	return head + headEnd + fmt.Sprintf("%x", len(body)) + lineEnd + body + lineEnd + "0" + lineEnd + trailers + lineEnd
}
