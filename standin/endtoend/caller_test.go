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

// callTimeout bounds the time of a call. Answers are expected long before.
const callTimeout = 2 * conditionTimeout

// client never retries a request, because a reservation must not be sent twice.
var client = fasthttp.Client{
	StreamResponseBody: true, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second,
	RetryIfErr:  func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	ReadTimeout: callTimeout, MaxConnsPerHost: 1024,
}

// callResult is the result of a call as the caller sees it.
type callResult struct {
	status int
	// body is the response body, or the concatenated text of a stream.
	body string
	// complete reports that the call succeeded and, for a stream, that the length
	// and the checksum in its end event match the text.
	complete bool
	// Code, Outcome and RetryAfter are set if the call failed.
	Code       string `json:"code"`
	Outcome    string `json:"outcome"`
	RetryAfter int    `json:"retry-after-seconds"`
	err        error
}

func (r callResult) String() string {
	return fmt.Sprintf("status %d, complete %t, code %q, outcome %q, err %v, body %.200q", r.status, r.complete, r.Code, r.Outcome, r.err, r.body)
}

// call is a call made with the key of the team franchisees.
type call struct {
	address, service, name string
	body                   []byte
	// key is the idempotency key; if empty, none is sent.
	key string
	// progress, if set, makes the call a streamed one. It receives the length of
	// the text after each event, unless it is full, and is closed at the end.
	progress chan int
}

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

func (c call) do() (result callResult) {
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
	if result.err = client.Do(request, response); result.err != nil {
		return result
	}
	defer response.CloseBodyStream()
	result.status = response.StatusCode()
	if c.progress != nil && result.status == fasthttp.StatusOK {
		c.readEvents(response.BodyStream(), &result)
		return result
	}
	var data []byte
	data, result.err = io.ReadAll(response.BodyStream())
	result.body = string(data)
	result.complete = result.status == fasthttp.StatusOK
	if !result.complete {
		_ = json.Unmarshal(data, &result)
	}
	return result
}

// readEvents reads the events of a stream until the stream ends.
func (c call) readEvents(r io.Reader, result *callResult) {
	eventName := ""
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if name, ok := strings.CutPrefix(scanner.Text(), "event: "); ok {
			eventName = name
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var event struct {
			Text     string `json:"text"`
			Length   int    `json:"length"`
			Checksum string `json:"checksum"`
		}
		_ = json.Unmarshal([]byte(data), &event)
		switch eventName {
		case "end":
			result.complete = event.Length == len(result.body) && event.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(result.body))
		case "error":
			_ = json.Unmarshal([]byte(data), result)
		default:
			result.body += event.Text
			select {
			case c.progress <- len(result.body):
			default:
			}
		}
	}
	result.err = scanner.Err()
}

// start makes the call in a goroutine. The channel receives the result.
func (c call) start() <-chan callResult {
	done := make(chan callResult, 1)
	go func() { done <- c.do() }()
	return done
}

// isCompleteGeneration reports whether text consists of exactly the tokens that
// an engine generates for prompt.
func isCompleteGeneration(text, prompt string, tokens int) bool {
	want := ""
	for n := range tokens {
		want += fmt.Sprintf("%s-%d ", prompt, n)
	}
	return text == want
}
