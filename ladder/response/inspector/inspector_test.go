package inspector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/faker/spoiler"
	"github.com/lycheeladder/lycheeladder/ladder/response/fieldchecker"
	"github.com/lycheeladder/lycheeladder/ladder/response/statuschecker"
)

// read reads the response to a request with a Reader.
func read(method, text string, requestErr error) (got string, err error) {
	r := NewReader(strings.NewReader(text))
	r.BeginRequest(method)
	r.EndRequest(requestErr)
	data, err := io.ReadAll(r)
	return string(data), err
}

// Guards against an end that passes for one in order, as the write of the request has had the error,
// and against a response that ends by itself and is rejected.
func TestReader_EndAfterAFailedWrite(t *testing.T) {
	for text, endUnknown := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\npart":                                               true,
		"HTTP/1.1 503 Full\r\n\r\n":                                                 true,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole":                         false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                              false,
		"HTTP/1.1 204 No Content\r\n\r\n":                                           false,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n":                    false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n": false,
	} {
		for _, requestErr := range []error{nil, syscall.ECONNRESET} {
			got, err := read(http.MethodPost, text, requestErr)
			if got != text || errors.Is(err, ErrEndUnknown) != (endUnknown && requestErr != nil) {
				t.Errorf("after %v: %q, %v", requestErr, got, err)
			}
		}
	}
}

// Guards against a response that ends within its head or its body as if it were whole.
func TestReader_EndWithinAResponse(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nX-A: b\r\n\r\n",
	} {
		for n := range len(whole) {
			want := io.ErrUnexpectedEOF
			if n == 0 {
				want = nil
			}
			if got, err := read(http.MethodPost, whole[:n], nil); got != whole[:n] || !errors.Is(err, want) {
				t.Errorf("%q, %v, want %v", got, err, want)
			}
		}
	}
}

// framings maps what a server sends to whether all clients read the same body in it.
var framings = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab":                          false,
	"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab":                                            false,
	"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab":                                              false,
	"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nab":                                              false,
	"HTTP/1.1 200 OK\r\nContent-Length: 2_0\r\n\r\nab":                                             false,
	"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nab":                                                 false,
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nab":                            false,
	"HTTP/1.1 200 OK\r\ncontent-length:\t2 \r\n\r\nab":                                             true,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                         false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nab":                                     false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": false,
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                               false,
	"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\nA\r\n0123456789\r\n00\r\nX-A: b\r\n\r\n": true,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n":                    false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n":                   false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\n":                                    false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\nab\r\n0\r\n\r\n":                      false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n":                    false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nab":                 false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 1\r\n\r\n":          false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTransfer-Encoding: a\r\n\r\n":       false,
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 OK\r\n\r\n":                 false,
	"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n":                                                 false,
	"HTTP/1.1\t200 OK\r\nContent-Length: 0\r\n\r\n":                                                false,
	"HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n":                                                false,
}

// Guards against a body that one client ends elsewhere than another one.
func TestReader_Framing(t *testing.T) {
	for text, valid := range framings {
		if got, err := read(http.MethodPost, text, nil); (got == text && err == nil) != valid {
			t.Errorf("%q: %q, %v", text, got, err)
		}
	}
}

// Guards against lines without an end that fill the memory.
func TestReader_LinesWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for beginning, part := range map[string]string{
		"":                           "x",
		"HTTP/1.1 200 OK\r\n":        "X-A: b\r\n",
		"HTTP/1.1 200 OK\r\nX-A: ":   "x",
		"HTTP/1.1 103 A\r\n\r\n":     "HTTP/1.1 103 A\r\n\r\n",
		chunked:                      "0",
		chunked + "0\r\n":            "X-A: b\r\n",
		chunked + "1\r\na":           "\r",
		chunked + "1;":               "x",
		chunked + "1\r\na\r\n0\r\nX": "x",
	} {
		text := beginning + strings.Repeat(part, 2*maxHeadBytes/len(part))
		if got, err := read(http.MethodPost, text, nil); err == nil || errors.Is(err, io.ErrUnexpectedEOF) || len(got) > maxHeadBytes+len(beginning) {
			t.Errorf("%q: %d bytes, %v", beginning, len(got), err)
		}
	}
}

// Guards against a malformed field that is believed, in a head or behind a body, however the bytes
// arrive.
func TestReader_MalformedFields(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nwhole"
	responses := spoiler.Spoil(whole)
	for _, list := range []map[string]string{responses.Heads, responses.Trailers} {
		for what, text := range list {
			for how, source := range map[string]io.Reader{
				"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)), "with the end": iotest.DataErrReader(strings.NewReader(text)),
			} {
				r := NewReader(source)
				r.BeginRequest(http.MethodPost)
				got, err := io.ReadAll(r)
				if !errors.Is(err, fieldchecker.ErrInvalid) && !errors.Is(err, statuschecker.ErrInvalid) || !strings.HasPrefix(text, string(got)) {
					t.Errorf("%s, %s: %q, %v", what, how, got, err)
				}
			}
		}
	}
}

// Guards against a status that is not one of HTTP on a connection, however the bytes of the response
// arrive.
func TestWrap_EachStatus(t *testing.T) {
	for text, valid := range spoiler.Statuses {
		for _, size := range []int{1, 7, 4096} {
			client, server := net.Pipe()
			c := Wrap(client)
			go func() {
				_, _ = server.Read(make([]byte, 1))
				for rest := text; rest != ""; {
					n := min(size, len(rest))
					if _, err := io.WriteString(server, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
				_ = server.Close()
			}()
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(c)
			if valid && (err != nil || string(got) != text) {
				t.Errorf("%q in parts of %d bytes: %v, %d bytes", text, size, err, len(got))
			}
			if !valid && !errors.Is(err, statuschecker.ErrInvalid) {
				t.Errorf("%q in parts of %d bytes: %v", text, size, err)
			}
			_ = client.Close()
		}
	}
}

// Guards against a status that is not one of HTTP, whichever parser reads the response.
func TestReader_EachStatus(t *testing.T) {
	for text, valid := range spoiler.Statuses {
		for name, parse := range map[string]parse{"net/http": parseWithNetHTTP, "fasthttp": parseWithFastHTTP} {
			r := NewReader(strings.NewReader(text))
			r.BeginRequest(http.MethodPost)
			if _, _, err := parse(bufio.NewReader(r)); valid != (err == nil) {
				t.Errorf("%s: %q: %v", name, text, err)
			}
		}
	}
	const interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
	if _, err := read(http.MethodPost, interim, nil); !errors.Is(err, statuschecker.ErrInvalid) {
		t.Errorf("an interim response with a body: %v", err)
	}
}

// exchange is a connection that sends text once a request has been written.
type exchange struct {
	net.Conn
	text io.Reader
}

func (e *exchange) Read(p []byte) (int, error)  { return e.text.Read(p) }
func (e *exchange) Write(p []byte) (int, error) { return len(p), nil }

// Guards against checks of what follows a protocol switch, and against a switch that was not asked for.
func TestWrapUpgrading(t *testing.T) {
	const text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\x00 not HTTP\n"
	c := WrapUpgrading(&exchange{text: strings.NewReader(text)})
	for range 2 {
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := io.ReadAll(c); string(got) != text || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a response to HEAD that is taken for one with a body, and the next one for that body.
func TestWrap_ResponsesToHEAD(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
	e := &exchange{}
	c := Wrap(e)
	for range 2 {
		e.text = strings.NewReader(head + "HTTP/1.1 000\r\n\r\n")
		if _, err := c.Write([]byte("HEAD / HTTP/1.1\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(head))
		if _, err := io.ReadFull(c, got); string(got) != head || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// parse reads a response with one of the clients' parsers.
type parse func(r *bufio.Reader) (status int, body []byte, err error)

func parseWithNetHTTP(r *bufio.Reader) (status int, body []byte, err error) {
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, nil, err
		}
		if statuschecker.IsInterim(response.StatusCode) {
			continue
		}
		body, err = io.ReadAll(response.Body)
		return response.StatusCode, body, err
	}
}

// maxParsedBytes bounds a body, for whose announced length fasthttp makes room at once.
const maxParsedBytes = 1 << 20

func parseWithFastHTTP(r *bufio.Reader) (status int, body []byte, err error) {
	var response fasthttp.Response
	if err := response.ReadLimitBody(r, maxParsedBytes); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), response.Body(), nil
}

// FuzzReader checks that what the Reader takes for whole, all parsers read alike, and that none
// believes a response which the Reader rejects or takes for torn.
func FuzzReader(f *testing.F) {
	for _, list := range []map[string]bool{framings, spoiler.Statuses} {
		for text := range list {
			f.Add([]byte(text), byte(0))
		}
	}
	for _, text := range spoiler.Spoil("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nab").Heads {
		f.Add([]byte(text), byte(3))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n2;a=b\r\nab\r\n0\r\nX-A: b\r\n\r\n"), byte(1))
	f.Add([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil its end"), byte(1))
	f.Fuzz(func(t *testing.T, text []byte, size byte) {
		type result struct {
			Status int
			Body   string
		}
		believed := make(map[string]result)
		for name, parse := range map[string]parse{"net/http": parseWithNetHTTP, "fasthttp": parseWithFastHTTP} {
			r := NewReader(&parts{rest: text, size: 1 + int(size)})
			r.BeginRequest(http.MethodPost)
			status, body, err := parse(bufio.NewReader(r))
			if err == nil {
				believed[name] = result{status, string(body)}
			}
			if s := r.response.state; err == nil && s != stateNone && s != stateUntilClose {
				t.Errorf("%s believes a response in state %d: %d, %q", name, s, status, body)
			}
		}
		if len(believed) == 2 {
			if diff := cmp.Diff(believed["net/http"], believed["fasthttp"]); diff != "" {
				t.Error(diff)
			}
		}
	})
}

// parts is a reader of parts of a text.
type parts struct {
	rest []byte
	size int
}

func (p *parts) Read(to []byte) (int, error) {
	n := copy(to, p.rest[:min(p.size, len(p.rest))])
	if p.rest = p.rest[n:]; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Guards against rejected responses that are not counted.
func TestReader_CountsWhatItRejects(t *testing.T) {
	for kind, text := range map[string]string{
		kindEndUnknown: "HTTP/1.1 200 OK\r\n\r\n", kindInvalidStatus: "HTTP/1.1 000\r\n\r\n",
		kindInvalidField: "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n", kindMalformedFraming: "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
	} {
		count := func() string {
			if v := rejected.Get(kind); v != nil {
				return v.String()
			}
			return "0"
		}
		before := count()
		if _, err := read(http.MethodPost, text, syscall.EPIPE); err == nil || count() == before {
			t.Errorf("%s: %v, %s before and %s after", kind, err, before, count())
		}
	}
}
