package endtoend

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

// endlessTokens is a number of tokens that no engine generates during a test.
const endlessTokens = 1 << 20

// startUnfinishedCalls starts a streamed and an unstreamed generation and a
// reservation, none of which ends during the test, and waits until all three are
// at their targets.
func (s *system) startUnfinishedCalls() (stream, unstreamed, reservation <-chan callResult) {
	s.t.Helper()
	s.addEngine("--token-time", "10ms")
	s.addPlainService("--call-for", "1h")
	c := asStream(generateCall(s.listen[0], "hang", endlessTokens))
	stream, unstreamed = c.start(), generateCall(s.listen[0], "chain", endlessTokens).start()
	reservation = reserveCall(s.listen[0], "pendant").start()
	<-c.progress
	eventually(s.t, "all calls to reach their targets", func() bool {
		return len(s.executionCounts(s.engines[0])) == 2 && len(s.executionCounts(s.plainServices[0])) == 1
	})
	return stream, unstreamed, reservation
}

// checkFinalResult checks that a call that was aborted at shutdown got an error
// answer with outcome unknown, a code and a retry delay.
func checkFinalResult(t *testing.T, kind string, result callResult) {
	t.Helper()
	if result.err != nil || result.complete || result.Outcome != "unknown" || result.Code == "" || result.RetryAfter == 0 {
		t.Errorf("%s: want outcome unknown, a code and Retry-After: %s", kind, result)
	}
}

func TestStopWithStragglers_FinalAnswersNoCut(t *testing.T) {
	for _, c := range []struct {
		name    string
		drain   string
		sidecar bool
		signals int
	}{
		{"entry at its drain timeout", "1s", false, 1},
		{"entry at a second signal", "1h", false, 2},
		{"sidecar at its drain timeout", "1s", true, 1},
		{"sidecar at a second signal", "1h", true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, "--drain-timeout", c.drain)
			s.sidecarArguments = []string{"--drain-timeout", c.drain}
			stream, unstreamed, reservation := s.startUnfinishedCalls()
			stopping := s.entries[:1]
			if c.sidecar {
				stopping = []*process{s.engines[0].sidecar, s.plainServices[0].sidecar}
			}
			for _, p := range stopping {
				for range c.signals - 1 {
					p.signal(syscall.SIGTERM)
					eventually(t, "the shutdown to begin", p.hasLogged("stopping"))
				}
				p.stop()
			}
			checkFinalResult(t, "stream", <-stream)
			checkFinalResult(t, "unstreamed", <-unstreamed)
			reservationResult := <-reservation
			checkFinalResult(t, "reservation", reservationResult)
			if reservationResult.Code == "target-lost" {
				t.Errorf("the sidecar stopped without answering the call: %s", reservationResult)
			}
		})
	}
}

func TestStopOfEntry_TrainerGoesOnElsewhereAtOnce(t *testing.T) {
	s := newSystem(t, "--leave-delay", "1h")
	s.addEngine("--token-time", "10ms")
	s.addScorer()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	f := s.newFetcher()
	if err := f.Submit(ctx, []deliverer.Group{newGroup("short", 2, 10), newGroup("long", 4, 500)}); err != nil {
		t.Fatal(err)
	}
	tokens := map[identifier.GroupID]int{"short": 10, "long": 500}
	received := make(map[identifier.SampleID]int)
	if err := receiveSamples(ctx, f, received, 2, tokens); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the long samples at the engine", func() bool { return s.executionCounts(s.engines[0])["long"] == 4 })
	s.entries[0].signal(syscall.SIGTERM)
	if err := receiveSamples(ctx, f, received, 4, tokens); err != nil {
		t.Fatal(err)
	}
	if status, err := s.status(1); err != nil || len(status.Sessions) != 1 {
		t.Errorf("the trainer has no session at the other entry: %v, err %v", status.Sessions, err)
	}
	if ran := s.executionCounts(s.engines[0])["long"]; ran != 4 {
		t.Errorf("4 samples in progress took %d generations", ran)
	}
}

func TestStopDuringWeightSwitch_StreamWholeAndEngineConverged(t *testing.T) {
	const tokens = 300
	s := newSystem(t)
	s.addEngine("--token-time", "10ms", "--switch-time", "2s")
	c := asStream(generateCall(s.listen[0], "hang", tokens))
	done := c.start()
	<-c.progress
	if err := s.newFetcher().Announce(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	engine := caller.NewHTTPTarget(s.engines[0].address, true)
	eventually(t, "the new weights to be loaded", func() bool {
		state, err := engine.State(t.Context())
		return err == nil && slices.Contains(state.Loaded, 2)
	})
	s.engines[0].sidecar.stop()
	if result := <-done; !result.complete || !isCompleteGeneration(result.body, "hang", tokens) {
		t.Errorf("stream: %s", result)
	}
	s.engines[0].sidecar.launch()
	eventually(t, "the entry to report the engine at version 2", func() bool {
		status, err := s.status(1)
		return err == nil && len(status.Targets) == 1 && status.Targets[0].Load.Version == 2
	})
}

func TestHostListedAsLeaving_TargetGetsNoNewWork(t *testing.T) {
	s := newSystem(t)
	hosts := freeAddresses(t, 1)[0]
	startProcess(t, "standin", "hosts", "--listen", hosts, "--lag", "0s")
	s.sidecarArguments = []string{"--hosts", hosts}
	s.addPlainService()
	leaving := lister.Host{Name: "stock-1", Role: lister.RoleTarget, Address: s.plainServices[0].address, Zone: "bkk-a", State: lister.HostLeaving}
	if err := requester.New(hosts, "").DoJSON(t.Context(), http.MethodPut, "/hosts/stock-1", leaving, nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the target to leave", func() bool { return !s.isLinked(0, "stock-1") && !s.isLinked(1, "stock-1") })
	if result := reserveCall(s.listen[0], "late").do(); result.Outcome != "not-run" || len(s.executionCounts(s.plainServices[0])) != 0 {
		t.Errorf("reservation at a leaving target: %s", result)
	}
}
