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

// callTimeout bounds a call that should have had its answer long before.
const callTimeout = 2 * conditionTimeout

// client sends nothing twice, as a caller of stock reservations must.
var client = fasthttp.Client{
	StreamResponseBody: true, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second,
	RetryIfErr:  func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	ReadTimeout: callTimeout, MaxConnsPerHost: 1024,
}

// callResult is what a caller got.
type callResult struct {
	status int
	// body is the whole body, or the text of a stream.
	body string
	// complete says that a stream had its end marker with the right checksum.
	complete bool
	// Code and Outcome are those of a failure.
	Code       string `json:"code"`
	Outcome    string `json:"outcome"`
	RetryAfter int    `json:"retry-after-seconds"`
	err        error
}

func (a callResult) String() string {
	return fmt.Sprintf("status %d, whole %t, code %q, outcome %q, err %v, body %.200q", a.status, a.complete, a.Code, a.Outcome, a.err, a.body)
}

// call is one call of the franchisees' team.
type call struct {
	address, service, name string
	body                   []byte
	// key is an idempotency key, or empty.
	key string
	// progress, if set, makes it a stream and counts its progress.
	progress chan int
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (c call) do() (a callResult) {
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
	if c.progress != nil {
		request.Header.Set("Accept", "text/event-stream")
		defer close(c.progress)
	}
	request.SetBody(c.body)
	if a.err = client.Do(request, response); a.err != nil {
		return a
	}
	defer response.CloseBodyStream()
	a.status = response.StatusCode()
	if c.progress != nil && a.status == fasthttp.StatusOK {
		c.readEvents(response.BodyStream(), &a)
		return a
	}
	var data []byte
	data, a.err = io.ReadAll(response.BodyStream())
	a.body = string(data)
	a.complete = a.status == fasthttp.StatusOK
	if !a.complete {
		_ = json.Unmarshal(data, &a)
	}
	return a
}

// readEvents reads a stream's events to its end.
func (c call) readEvents(r io.Reader, a *callResult) {
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
			a.complete = e.Length == len(a.body) && e.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(a.body))
		case "error":
			_ = json.Unmarshal([]byte(data), a)
		default:
			a.body += e.Text
			select {
			case c.progress <- len(a.body):
			default:
			}
		}
	}
	a.err = scanner.Err()
}

// start makes the call in a task of its own.
func (c call) start() <-chan callResult {
	done := make(chan callResult, 1)
	go func() { done <- c.do() }()
	return done
}

// isCompleteGeneration says whether text is a whole answer to the prompt, and no other's.
func isCompleteGeneration(text, prompt string, tokens int) bool {
	want := ""
	for n := range tokens {
		want += fmt.Sprintf("%s-%d ", prompt, n)
	}
	return text == want
}
