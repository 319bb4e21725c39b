package endtoend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// callLimit bounds a call that should have had its answer long before.
const callLimit = 2 * limit

// client sends nothing twice, as a caller of stock reservations must.
var client = fasthttp.Client{
	StreamResponseBody: true, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second,
	RetryIfErr:  func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	ReadTimeout: callLimit, MaxConnsPerHost: 1024,
}

// answer is what a caller got.
type answer struct {
	status int
	// body is the whole body, or the text of a stream.
	body string
	// whole says that a stream had its end marker with the right checksum.
	whole bool
	// Code and Outcome are those of a failure.
	Code       string `json:"code"`
	Outcome    string `json:"outcome"`
	RetryAfter int    `json:"retry-after-seconds"`
	err        error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, whole %t, code %q, outcome %q, err %v, body %.200q", a.status, a.whole, a.Code, a.Outcome, a.err, a.body)
}

// call is one call of the franchisees' team.
type call struct {
	address, service, name string
	body                   []byte
	// key is an idempotency key, or empty.
	key string
	// pieces, if set, makes it a stream and counts its pieces.
	pieces chan int
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (c call) do() (a answer) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + c.address + "/v1/services/" + c.service + "/calls/" + c.name)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+teamKey)
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if c.pieces != nil {
		request.Header.Set("Accept", "text/event-stream")
		defer close(c.pieces)
	}
	request.SetBody(c.body)
	if a.err = client.Do(request, response); a.err != nil {
		return a
	}
	defer response.CloseBodyStream()
	a.status = response.StatusCode()
	if c.pieces != nil && a.status == fasthttp.StatusOK {
		c.follow(response.BodyStream(), &a)
		return a
	}
	var data []byte
	data, a.err = io.ReadAll(response.BodyStream())
	a.body = string(data)
	a.whole = a.status == fasthttp.StatusOK
	if !a.whole {
		_ = json.Unmarshal(data, &a)
	}
	return a
}

// follow reads a stream's events to its end.
func (c call) follow(r io.Reader, a *answer) {
	event := ""
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if name, ok := strings.CutPrefix(scanner.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var e struct {
			Text     string `json:"text"`
			Length   int    `json:"length"`
			Checksum string `json:"checksum"`
		}
		_ = json.Unmarshal([]byte(data), &e)
		switch event {
		case "end":
			a.whole = e.Length == len(a.body) && e.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(a.body))
		case "error":
			_ = json.Unmarshal([]byte(data), a)
		default:
			a.body += e.Text
			select {
			case c.pieces <- len(a.body):
			default:
			}
		}
	}
	a.err = scanner.Err()
}

// begin makes the call in a task of its own.
func (c call) begin() <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- c.do() }()
	return done
}

// generated says whether text is a whole answer to the prompt, and no other's.
func generated(text, prompt string, tokens int) bool {
	want := ""
	for n := range tokens {
		want += fmt.Sprintf("%s-%d ", prompt, n)
	}
	return text == want
}
