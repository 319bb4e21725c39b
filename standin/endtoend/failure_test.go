package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

func generateCall(address, text string, tokens int) call {
	return call{address: address, service: "advice-models", name: "generate", body: generationBody(text, tokens)}
}

func asStream(c call) call {
	c.progress = make(chan int, 1)
	return c
}

func reserveCall(address, part string) call {
	return call{address: address, service: "spares-app", name: "reserve", body: []byte(fmt.Sprintf(`{"part":%q}`, part))}
}

func lookupCall(address, part string) call {
	c := reserveCall(address, part)
	c.name = "lookup"
	return c
}

// echoedBody returns the request body that a plain service copied into its answer.
func echoedBody(result callResult) string {
	var response struct {
		Echo json.RawMessage `json:"echo"`
	}
	_ = json.Unmarshal([]byte(result.body), &response)
	return string(response.Echo)
}

func TestFrozenSidecar_AnswersWhileFrozenAndNothingTwice(t *testing.T) {
	const calls = 12
	s := newSystem(t)
	s.addPlainService("--call-for", "1s")
	s.addPlainService("--call-for", "1s")
	pending := make(map[string]<-chan callResult)
	for n := range calls {
		reservation, lookup := reserveCall(s.listen[n%2], fmt.Sprintf("pendant-%d", n)), lookupCall(s.listen[n%2], fmt.Sprintf("drop-%d", n))
		pending[string(reservation.body)], pending[string(lookup.body)] = reservation.start(), lookup.start()
	}
	eventually(t, "calls at the first plain service", func() bool { return len(s.executionCounts(s.plainServices[0])) > 3 })
	s.plainServices[0].sidecar.signal(syscall.SIGSTOP)
	results := make(map[string]callResult)
	for body, done := range pending {
		results[body] = <-done
	}
	s.plainServices[0].sidecar.signal(syscall.SIGCONT)
	s.awaitLinked("stock-1")
	firstCounts, secondCounts := s.executionCounts(s.plainServices[0]), s.executionCounts(s.plainServices[1])
	unknown := 0
	for body, result := range results {
		// The parts pendant-N are reservations, drop-N are idempotent lookups.
		times := firstCounts[body] + secondCounts[body]
		switch {
		case result.complete && echoedBody(result) != body:
			t.Errorf("call %s got the answer of another call: %s", body, result)
		case result.complete && times < 1, result.Outcome == "not-run" && times != 0, result.err != nil, !result.complete && result.Outcome == "":
			t.Errorf("call %s was executed %d times, which contradicts its result: %s", body, times, result)
		case body[:10] == `{"part":"p` && times > 1:
			t.Errorf("call %s was executed %d times, want at most once", body, times)
		case body[:10] == `{"part":"d` && !result.complete:
			t.Errorf("idempotent call %s not retried at the other target: %s", body, result)
		case result.Outcome == "unknown":
			unknown++
		}
	}
	if unknown == 0 {
		t.Error("no call was in progress at the frozen sidecar, so the test checked nothing")
	}
}

func TestKilledEngine_StreamEndsInErrorAndOthersMove(t *testing.T) {
	const tokens = 400
	s := newSystem(t)
	s.addEngine("--token-time", "10ms")
	stream, unstreamed := asStream(generateCall(s.listen[0], "hang", tokens)), generateCall(s.listen[1], "chain", tokens)
	streamDone, unstreamedDone := stream.start(), unstreamed.start()
	<-stream.progress
	eventually(t, "both calls at the engine", func() bool { return len(s.executionCounts(s.engines[0])) == 2 })
	s.addEngine()
	s.engines[0].backend.kill()
	result := <-streamDone
	if result.complete || result.Outcome != "unknown" || result.err != nil {
		t.Errorf("stream: want an error event with outcome unknown: %s", result)
	}
	if result := <-unstreamedDone; !result.complete || !isCompleteGeneration(generatedText(result), "chain", tokens) {
		t.Errorf("unstreamed call: want the complete answer of the other engine: %s", result)
	}
}

func generatedText(result callResult) string {
	var response struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal([]byte(result.body), &response)
	return response.Text
}

func TestSilentLink_StreamsGoOnWholeOverNewOne(t *testing.T) {
	const tokens, streams = 1000, 4
	s := newSystem(t)
	r := newRelay(t, s.peers[0])
	s.peers = []string{r.address(), s.peers[1]}
	s.addEngine("--token-time", "10ms")
	var calls []call
	var pending []<-chan callResult
	for n := range streams {
		c := asStream(generateCall(s.listen[0], fmt.Sprintf("part%d", n), tokens))
		calls, pending = append(calls, c), append(pending, c.start())
	}
	for _, c := range calls {
		<-c.progress
	}
	r.silenceConnections()
	for n, done := range pending {
		if result := <-done; !result.complete || !isCompleteGeneration(result.body, fmt.Sprintf("part%d", n), tokens) {
			t.Errorf("stream %d: %s", n, result)
		}
	}
	if r.connectionCount() < 2 {
		t.Error("no new link was opened, so the test checked nothing")
	}
	if diff := cmp.Diff(map[string]int{"part0": 1, "part1": 1, "part2": 1, "part3": 1}, s.executionCounts(s.engines[0])); diff != "" {
		t.Errorf("generations (-want +got):\n%s", diff)
	}
}

func TestLogAway_LiveCallsGoOnAndNothingIsLost(t *testing.T) {
	for _, kind := range []string{"refuse", "silent"} {
		t.Run(kind, func(t *testing.T) { testLogUnavailable(t, kind) })
	}
}

func testLogUnavailable(t *testing.T, kind string) {
	s := newSystem(t)
	s.addEngine()
	s.addPlainService()
	s.setFault(s.logAddress, kind, "/streams")
	responses := []requester.Response{s.publish(0, s.document(1)), s.publish(1, s.document(1))}
	for n, response := range responses {
		// A log read that was in progress when the fault began may still return
		// the verdict: accepted, or for the second proposal a conflict with the
		// first.
		if kind == "silent" && (response.Status == http.StatusOK || n > 0 && response.Status == http.StatusConflict) {
			continue
		}
		if response.Status != http.StatusServiceUnavailable || response.RetryAfter == 0 {
			t.Errorf("publish at entry %d: want 503 with Retry-After, got %d, %s: %s", n, response.Status, response.RetryAfter, response.Body)
		}
	}
	if result := generateCall(s.listen[0], "live", 20).do(); !result.complete {
		t.Errorf("live call: %s", result)
	}
	if result := reserveCall(s.listen[0], "unkeyed").do(); !result.complete {
		t.Errorf("call without a key: %s", result)
	}
	keyed := reserveCall(s.listen[1], "keyed")
	keyed.key = newIdempotencyKey()
	if result := keyed.do(); result.Outcome != "not-run" || result.RetryAfter == 0 {
		t.Errorf("keyed call: want not-run with Retry-After: %s", result)
	}
	s.setFault(s.logAddress, "", "")
	document := s.document(1)
	eventually(t, "a document to be accepted", func() bool {
		response := s.publish(0, document)
		var conflict struct {
			Revision uint64 `json:"revision"`
		}
		_ = json.Unmarshal(response.Body, &conflict)
		return response.Status == http.StatusOK || response.Status == http.StatusConflict && conflict.Revision > 1
	})
	s.awaitLinked("stock-1")
	for n := range s.listen {
		status, err := s.status(n)
		if err != nil || status.Revision != 2 {
			t.Errorf("entry %d: revision %d, want 2, err %v", n, status.Revision, err)
		}
	}
	eventually(t, "a keyed call to be executed", func() bool {
		keyed.key = newIdempotencyKey()
		result := keyed.do()
		if !result.complete && (result.Outcome != "not-run" || result.RetryAfter == 0) {
			t.Errorf("keyed call: want a complete answer, or not-run with Retry-After: %s", result)
		}
		return result.complete
	})
	if executed := s.executionCounts(s.plainServices[0])[string(keyed.body)]; executed != 1 {
		t.Errorf("one keyed call got a complete answer, but %d were executed", executed)
	}
}
