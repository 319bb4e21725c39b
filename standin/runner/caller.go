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

// liveCaller stands in for the callers of the spares desk and the depot. It
// checks that each answer is whole and its own, and that each wrong call is
// refused as it should be.
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

type callerReport struct {
	Streams      int   `json:"streamed-calls"`
	Plain        int   `json:"plain-calls"`
	Whole        int   `json:"answers-whole"`
	Cut          int   `json:"answers-cut-short"`
	Others       int   `json:"answers-of-others"`
	Failed       int   `json:"calls-failed"`
	Refused      int   `json:"refusals-as-expected"`
	Wrong        int   `json:"refusals-wrong"`
	FirstByte    int64 `json:"first-byte-median-us"`
	failures     []string
	firstBytesUs []int64
}

const callTimeout = 20 * time.Second

func (l *liveCaller) run(ctx context.Context, stdout io.Writer) error {
	l.client = fasthttp.Client{StreamResponseBody: true, ReadTimeout: callTimeout, MaxIdemponentCallAttempts: 1}
	l.expectRefusals()
	until := time.Now().Add(time.Duration(l.Seconds) * time.Second)
	p := pool.New()
	for n := range l.Callers {
		p.Go(func() {
			for k := 0; time.Now().Before(until) && ctx.Err() == nil; k++ {
				l.stream(fmt.Sprintf("c%dk%d", n, k), l.entry(n+k))
				l.plain(fmt.Sprintf("c%dk%d", n, k), l.entry(n+k+1))
			}
		})
	}
	p.Wait()
	l.report.FirstByte = median(l.report.firstBytesUs)
	for _, f := range l.report.failures {
		fmt.Fprintln(stdout, "# "+f)
	}
	return json.NewEncoder(stdout).Encode(&l.report)
}

func (l *liveCaller) entry(n int) starter.Address { return l.Entry[n%len(l.Entry)] }

func (l *liveCaller) exchange(address starter.Address, key, path string, body []byte, headers map[string]string, use func(*fasthttp.Response) error) error {
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
	return use(response)
}

func (l *liveCaller) stream(name string, address starter.Address) {
	body, _ := json.Marshal(prompt{Prompt: name, MaxTokens: l.MaxTokens})
	began := time.Now()
	var text strings.Builder
	var whole bool
	err := l.exchange(address, l.Key, "/v1/services/"+l.Engines+"/calls/generate", body, map[string]string{"Accept": "text/event-stream"},
		func(r *fasthttp.Response) (err error) {
			if r.StatusCode() != fasthttp.StatusOK {
				data, _ := io.ReadAll(r.BodyStream())
				return errors.Errorf("status %d: %s", r.StatusCode(), data)
			}
			whole, err = l.readStream(r.BodyStream(), &text, began)
			return err
		})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Streams++
	switch {
	case err != nil:
		l.fail("stream %s: %s", name, err)
	case !whole || strings.Count(text.String(), " ") != l.MaxTokens:
		l.report.Cut++
	case strings.Count(text.String(), name+"-") != l.MaxTokens:
		l.report.Others++
	default:
		l.report.Whole++
	}
}

// readStream reads events until the end marker and checks it.
func (l *liveCaller) readStream(r io.Reader, text *strings.Builder, began time.Time) (whole bool, err error) {
	scanner := bufio.NewScanner(r)
	name := ""
	for scanner.Scan() {
		line := scanner.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			name = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var e struct {
			Text     string `json:"text"`
			Length   int    `json:"length"`
			Checksum string `json:"checksum"`
			Code     string `json:"code"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return false, err
		}
		switch name {
		case "end":
			return e.Length == text.Len() && e.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(text.String())), nil
		case "error":
			return false, errors.Errorf("error event: %s", e.Code)
		}
		if text.Len() == 0 {
			l.mutex.Lock()
			l.report.firstBytesUs = append(l.report.firstBytesUs, time.Since(began).Microseconds())
			l.mutex.Unlock()
		}
		text.WriteString(e.Text)
	}
	return false, scanner.Err()
}

func (l *liveCaller) plain(name string, address starter.Address) {
	body := []byte(fmt.Sprintf(`{"part":%q}`, name))
	headers := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	var answer struct {
		Echo  json.RawMessage `json:"echo"`
		Times int             `json:"times"`
	}
	var data []byte
	err := l.exchange(address, l.Key, "/v1/services/"+l.Plain+"/calls/"+l.Call, body, headers, func(r *fasthttp.Response) (err error) {
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
	l.report.Plain++
	switch {
	case err != nil:
		l.fail("plain %s: %s", name, err)
	case !bytes.Equal(answer.Echo, body):
		l.report.Others++
	case answer.Times != 1:
		l.fail("plain %s ran %d times", name, answer.Times)
	default:
		l.report.Whole++
	}
}

// fail notes a failure. The caller holds the mutex.
func (l *liveCaller) fail(format string, arguments ...any) {
	const most = 5
	l.report.Failed++
	if len(l.report.failures) < most {
		l.report.failures = append(l.report.failures, fmt.Sprintf(format, arguments...))
	}
}

// refusal is a wrong call and how it must be refused.
type refusal struct {
	name   string
	key    string
	path   string
	body   string
	status int
	code   string
}

func (l *liveCaller) refusals() []refusal {
	generate := "/v1/services/" + l.Engines + "/calls/generate"
	good := `{"prompt":"p","max-tokens":1}`
	return []refusal{
		{"team without approval", l.OtherKey, generate, good, 403, "team-not-approved"},
		{"wrong key", "wrong", generate, good, 401, "key-unknown"},
		{"no key", "", generate, good, 401, "key-missing"},
		{"unknown service", l.Key, "/v1/services/no-such/calls/generate", good, 404, "unknown-service"},
		{"malformed body", l.Key, generate, `{"prompt":`, 400, "body-malformed"},
		{"oversized body", l.Key, generate, `"` + strings.Repeat("x", 1<<20) + `"`, 413, "body-too-large"},
	}
}

func (l *liveCaller) expectRefusals() {
	for n, want := range l.refusals() {
		var got struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		}
		status := 0
		err := l.exchange(l.entry(n), want.key, want.path, []byte(want.body), nil, func(r *fasthttp.Response) error {
			status = r.StatusCode()
			data, err := io.ReadAll(r.BodyStream())
			if err != nil {
				return err
			}
			return json.Unmarshal(data, &got)
		})
		if err == nil && status == want.status && got.Code == want.code && got.Outcome == "not-run" {
			l.report.Refused++
			continue
		}
		l.report.Wrong++
		l.report.failures = append(l.report.failures, fmt.Sprintf("%s: got %d %s %s, err %v", want.name, status, got.Code, got.Outcome, err))
	}
}
