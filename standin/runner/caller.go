package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// liveCaller simulates client accounts that make live calls. It checks that each
// answer is complete and belongs to its call, and that each invalid call is
// refused with the expected status and code.
type liveCaller struct {
	Entry     []starter.Address `help:"An entry, IP:port. May be given often." required:""`
	Key       string            `help:"The team's key." required:""`
	OtherKey  string            `help:"The key of a team that has no approval." required:""`
	Engines   string            `help:"The service of model engines." required:""`
	Plain     string            `help:"The plain service." required:""`
	Call      string            `help:"The plain service's call that must not be repeated." default:"reserve"`
	Seconds   int               `help:"How long to call." default:"5"`
	Callers   int               `help:"Callers at once." default:"4"`
	MaxTokens int               `help:"Tokens of an answer." default:"20"`

	client fasthttp.Client
	mutex  sync.Mutex
	report callerReport
}

// callerReport counts the results of the calls. Complete, Truncated and
// Misdirected count answers; a misdirected one belongs to another call.
type callerReport struct {
	StreamedCalls     int   `json:"streamed-calls"`
	PlainCalls        int   `json:"plain-calls"`
	Complete          int   `json:"answers-whole"`
	Truncated         int   `json:"answers-cut-short"`
	Misdirected       int   `json:"answers-of-others"`
	Failed            int   `json:"calls-failed"`
	ExpectedRefusals  int   `json:"refusals-as-expected"`
	WrongRefusals     int   `json:"refusals-wrong"`
	FirstByteMedianUs int64 `json:"first-byte-median-us"`
	failures          []string
	firstByteTimesUs  []int64
}

const callTimeout = 20 * time.Second

func (l *liveCaller) run(ctx context.Context, stdout io.Writer) error {
	l.client = fasthttp.Client{StreamResponseBody: true, ReadTimeout: callTimeout, MaxIdemponentCallAttempts: 1}
	l.checkRefusals()
	deadline := time.Now().Add(time.Duration(l.Seconds) * time.Second)
	workers := pool.New()
	for n := range l.Callers {
		workers.Go(func() {
			for k := 0; time.Now().Before(deadline) && ctx.Err() == nil; k++ {
				l.callStreamed(fmt.Sprintf("c%dk%d", n, k), l.entryAddress(n+k))
				l.callPlain(fmt.Sprintf("c%dk%d", n, k), l.entryAddress(n+k+1))
			}
		})
	}
	workers.Wait()
	l.report.FirstByteMedianUs = median(l.report.firstByteTimesUs)
	for _, failure := range l.report.failures {
		fmt.Fprintln(stdout, "# "+failure)
	}
	return json.NewEncoder(stdout).Encode(&l.report)
}

func (l *liveCaller) entryAddress(n int) starter.Address { return l.Entry[n%len(l.Entry)] }

func (l *liveCaller) post(address starter.Address, key, path string, body []byte, headers map[string]string, handle func(*fasthttp.Response) error) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + string(address) + path)
	request.Header.SetContentType("application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := l.client.Do(request, response); err != nil {
		return err
	}
	defer response.CloseBodyStream()
	return handle(response)
}

func (l *liveCaller) callStreamed(name string, address starter.Address) {
	body, _ := json.Marshal(generationBody{Prompt: name, MaxTokens: l.MaxTokens})
	start := time.Now()
	var text strings.Builder
	var complete bool
	err := l.post(address, l.Key, "/v1/services/"+l.Engines+"/calls/generate", body, map[string]string{"Accept": "text/event-stream"},
		func(r *fasthttp.Response) (err error) {
			if r.StatusCode() != fasthttp.StatusOK {
				data, _ := io.ReadAll(r.BodyStream())
				return errors.Errorf("status %d: %s", r.StatusCode(), data)
			}
			complete, err = l.readStream(r.BodyStream(), &text, start)
			return err
		})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.StreamedCalls++
	switch {
	case err != nil:
		l.recordFailure("stream %s: %s", name, err)
	case !complete || strings.Count(text.String(), " ") != l.MaxTokens:
		l.report.Truncated++
	case strings.Count(text.String(), name+"-") != l.MaxTokens:
		l.report.Misdirected++
	default:
		l.report.Complete++
	}
}

// readStream appends the text of the events to text until the end event. The
// stream is complete if the length and the checksum in that event match the text.
func (l *liveCaller) readStream(r io.Reader, text *strings.Builder, start time.Time) (complete bool, err error) {
	scanner := bufio.NewScanner(r)
	eventName := ""
	for scanner.Scan() {
		line := scanner.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			eventName = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event struct {
			Text     string `json:"text"`
			Length   int    `json:"length"`
			Checksum string `json:"checksum"`
			Code     string `json:"code"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return false, err
		}
		switch eventName {
		case "end":
			return event.Length == text.Len() && event.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(text.String())), nil
		case "error":
			return false, errors.Errorf("error event: %s", event.Code)
		}
		if text.Len() == 0 {
			l.mutex.Lock()
			l.report.firstByteTimesUs = append(l.report.firstByteTimesUs, time.Since(start).Microseconds())
			l.mutex.Unlock()
		}
		text.WriteString(event.Text)
	}
	return false, scanner.Err()
}

func (l *liveCaller) callPlain(name string, address starter.Address) {
	body := []byte(fmt.Sprintf(`{"part":%q}`, name))
	headers := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	var answer struct {
		Echo  json.RawMessage `json:"echo"`
		Times int             `json:"times"`
	}
	var data []byte
	err := l.post(address, l.Key, "/v1/services/"+l.Plain+"/calls/"+l.Call, body, headers, func(r *fasthttp.Response) (err error) {
		if data, err = io.ReadAll(r.BodyStream()); err != nil {
			return err
		}
		if r.StatusCode() != fasthttp.StatusOK {
			return errors.Errorf("status %d: %s", r.StatusCode(), data)
		}
		return json.Unmarshal(data, &answer)
	})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.PlainCalls++
	switch {
	case err != nil:
		l.recordFailure("plain %s: %s", name, err)
	case !bytes.Equal(answer.Echo, body):
		l.report.Misdirected++
	case answer.Times != 1:
		l.recordFailure("plain %s ran %d times", name, answer.Times)
	default:
		l.report.Complete++
	}
}

// recordFailure counts a failure and keeps the messages of the first few. The
// caller holds the mutex.
func (l *liveCaller) recordFailure(format string, arguments ...any) {
	const maxMessages = 5
	l.report.Failed++
	if len(l.report.failures) < maxMessages {
		l.report.failures = append(l.report.failures, fmt.Sprintf(format, arguments...))
	}
}

// refusalCase is an invalid call and the refusal that it must get.
type refusalCase struct {
	name   string
	key    string
	path   string
	body   string
	status int
	code   string
}

func (l *liveCaller) refusalCases() []refusalCase {
	generate := "/v1/services/" + l.Engines + "/calls/generate"
	validBody := `{"prompt":"p","max-tokens":1}`
	return []refusalCase{
		{"team without approval", l.OtherKey, generate, validBody, 403, "team-not-approved"},
		{"wrong key", "wrong", generate, validBody, 401, "key-unknown"},
		{"no key", "", generate, validBody, 401, "key-missing"},
		{"unknown service", l.Key, "/v1/services/no-such/calls/generate", validBody, 404, "unknown-service"},
		{"malformed body", l.Key, generate, `{"prompt":`, 400, "body-malformed"},
		{"oversized body", l.Key, generate, `"` + strings.Repeat("x", 1<<20) + `"`, 413, "body-too-large"},
	}
}

func (l *liveCaller) checkRefusals() {
	for n, want := range l.refusalCases() {
		var got struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		}
		status := 0
		err := l.post(l.entryAddress(n), want.key, want.path, []byte(want.body), nil, func(r *fasthttp.Response) error {
			status = r.StatusCode()
			data, err := io.ReadAll(r.BodyStream())
			if err != nil {
				return err
			}
			return json.Unmarshal(data, &got)
		})
		if err == nil && status == want.status && got.Code == want.code && got.Outcome == "not-run" {
			l.report.ExpectedRefusals++
			continue
		}
		l.report.WrongRefusals++
		l.report.failures = append(l.report.failures, fmt.Sprintf("%s: got %d %s %s, err %v", want.name, status, got.Code, got.Outcome, err))
	}
}
