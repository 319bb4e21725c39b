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

// echoedBody returns the body that a plain service answered to.
func echoedBody(a callResult) string {
	var e struct {
		Echo json.RawMessage `json:"echo"`
	}
	_ = json.Unmarshal([]byte(a.body), &e)
	return string(e.Echo)
}

func TestFrozenSidecar_AnswersWhileFrozenAndNothingTwice(t *testing.T) {
	const calls = 12
	s := newSystem(t)
	s.addPlainService("--call-for", "1s")
	s.addPlainService("--call-for", "1s")
	begun := make(map[string]<-chan callResult)
	for n := range calls {
		once, again := reserveCall(s.listen[n%2], fmt.Sprintf("pendant-%d", n)), lookupCall(s.listen[n%2], fmt.Sprintf("drop-%d", n))
		begun[string(once.body)], begun[string(again.body)] = once.start(), again.start()
	}
	eventually(t, "work at the first stock", func() bool { return len(s.executionCounts(s.plainServices[0])) > 3 })
	s.plainServices[0].sidecar.signal(syscall.SIGSTOP)
	answers := make(map[string]callResult)
	for body, done := range begun {
		answers[body] = <-done
	}
	s.plainServices[0].sidecar.signal(syscall.SIGCONT)
	s.awaitLinked("stock-1")
	one, two := s.executionCounts(s.plainServices[0]), s.executionCounts(s.plainServices[1])
	unknown := 0
	for body, a := range answers {
		times := one[body] + two[body]
		switch {
		case a.complete && echoedBody(a) != body:
			t.Errorf("answer to %s is another's: %s", body, a)
		case a.complete && times < 1, a.Outcome == "not-run" && times != 0, a.err != nil, !a.complete && a.Outcome == "":
			t.Errorf("%s ran %d times: %s", body, times, a)
		case body[:10] == `{"part":"p` && times > 1:
			t.Errorf("%s ran %d times, may run once", body, times)
		case body[:10] == `{"part":"d` && !a.complete:
			t.Errorf("idempotent %s not tried elsewhere: %s", body, a)
		case a.Outcome == "unknown":
			unknown++
		}
	}
	if unknown == 0 {
		t.Error("no call was at the frozen sidecar: nothing was proved")
	}
}

func TestKilledEngine_StreamEndsInErrorAndOthersMove(t *testing.T) {
	const tokens = 400
	s := newSystem(t)
	s.addEngine("--token-time", "10ms")
	stream, plain := asStream(generateCall(s.listen[0], "hang", tokens)), generateCall(s.listen[1], "chain", tokens)
	streamDone, plainDone := stream.start(), plain.start()
	<-stream.progress
	eventually(t, "both calls at the engine", func() bool { return len(s.executionCounts(s.engines[0])) == 2 })
	s.addEngine()
	s.engines[0].backend.kill()
	a := <-streamDone
	if a.complete || a.Outcome != "unknown" || a.err != nil {
		t.Errorf("stream: want an error event with outcome unknown: %s", a)
	}
	if a := <-plainDone; !a.complete || !isCompleteGeneration(generatedText(a), "chain", tokens) {
		t.Errorf("unstreamed call: want the whole answer of the other engine: %s", a)
	}
}

func generatedText(a callResult) string {
	var g struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal([]byte(a.body), &g)
	return g.Text
}

func TestSilentLink_StreamsGoOnWholeOverNewOne(t *testing.T) {
	const tokens, streams = 1000, 4
	s := newSystem(t)
	r := newRelay(t, s.peers[0])
	s.peers = []string{r.address(), s.peers[1]}
	s.addEngine("--token-time", "10ms")
	var calls []call
	var begun []<-chan callResult
	for n := range streams {
		c := asStream(generateCall(s.listen[0], fmt.Sprintf("part%d", n), tokens))
		calls, begun = append(calls, c), append(begun, c.start())
	}
	for _, c := range calls {
		<-c.progress
	}
	r.silenceConnections()
	for n, done := range begun {
		if a := <-done; !a.complete || !isCompleteGeneration(a.body, fmt.Sprintf("part%d", n), tokens) {
			t.Errorf("stream %d: %s", n, a)
		}
	}
	if r.connectionCount() < 2 {
		t.Error("no new link was made: nothing was proved")
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
	proposals := []requester.Response{s.publish(0, s.document(1)), s.publish(1, s.document(1))}
	for n, a := range proposals {
		// A read that was under way when the log fell silent may still tell
		// the verdict, and so that another one came first.
		if kind == "silent" && (a.Status == http.StatusOK || n > 0 && a.Status == http.StatusConflict) {
			continue
		}
		if a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
			t.Errorf("publish at entry %d: want 503 with Retry-After, got %d, %s: %s", n, a.Status, a.RetryAfter, a.Body)
		}
	}
	if a := generateCall(s.listen[0], "live", 20).do(); !a.complete {
		t.Errorf("live call: %s", a)
	}
	if a := reserveCall(s.listen[0], "unkeyed").do(); !a.complete {
		t.Errorf("call without a key: %s", a)
	}
	keyed := reserveCall(s.listen[1], "keyed")
	keyed.key = newKey()
	if a := keyed.do(); a.Outcome != "not-run" || a.RetryAfter == 0 {
		t.Errorf("keyed call: want not-run with Retry-After: %s", a)
	}
	s.setFault(s.logAddress, "", "")
	d := s.document(1)
	eventually(t, "a publication to be accepted", func() bool {
		a := s.publish(0, d)
		var conflict struct {
			Revision uint64 `json:"revision"`
		}
		_ = json.Unmarshal(a.Body, &conflict)
		return a.Status == http.StatusOK || a.Status == http.StatusConflict && conflict.Revision > 1
	})
	s.awaitLinked("stock-1")
	for n := range s.listen {
		status, err := s.status(n)
		if err != nil || status.Revision != 2 {
			t.Errorf("entry %d: revision %d, want 2, err %v", n, status.Revision, err)
		}
	}
	eventually(t, "a keyed call to run", func() bool {
		keyed.key = newKey()
		a := keyed.do()
		if !a.complete && (a.Outcome != "not-run" || a.RetryAfter == 0) {
			t.Errorf("keyed call: want it whole, or not-run with Retry-After: %s", a)
		}
		return a.complete
	})
	if ran := s.executionCounts(s.plainServices[0])[string(keyed.body)]; ran != 1 {
		t.Errorf("the keyed call was told once that it ran, and ran %d times", ran)
	}
}
