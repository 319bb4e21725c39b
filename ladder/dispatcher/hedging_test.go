package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/accumulator"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/limiter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

type noGoals struct{}

func (noGoals) Learn([]messenger.WeightGoal) {}
func (noGoals) All() []messenger.WeightGoal  { return nil }

type oneConfiguration struct{}

func (oneConfiguration) For(identifier.ServiceName, int, int) (messenger.Configuration, bool) {
	return messenger.Configuration{Revision: 1}, true
}

// sidecars serves two targets. With silent set, the target that gets the first
// attempt does not respond; all others respond completely. The messages that
// the targets receive are recorded in sent.
type sidecars struct {
	silent bool
	sent   chan string
}

func (s *sidecars) serve(ctx context.Context, l messenger.Link, name string) {
	_ = l.Send(ctx, messenger.Hello{Name: name, Incarnation: identifier.Incarnation(name), Service: "lookup"})
	heartbeats := heartbeater.New(clockwork.NewRealClock(), heartbeater.DefaultOptions())
	_ = heartbeats.Run(ctx, l, func() messenger.Heartbeat { return messenger.Heartbeat{} }, func(m messenger.Message) error {
		if _, ok := m.(messenger.Cancel); ok {
			s.sent <- "cancel"
		}
		start, ok := m.(messenger.Start)
		if !ok {
			return nil
		}
		s.sent <- "start"
		if s.silent && start.Attempt == 1 {
			return nil
		}
		return respond(ctx, l, start)
	})
}

// respond sends a complete response.
func respond(ctx context.Context, l messenger.Link, m messenger.Start) error {
	output := accumulator.New()
	output.Append([]byte("whole"))
	_ = l.Send(ctx, messenger.Chunk{Request: m.Request, Attempt: m.Attempt, Incarnation: m.Incarnation, Data: output.Bytes()})
	return l.Send(ctx, messenger.End{
		Request: m.Request, Attempt: m.Attempt, Incarnation: m.Incarnation, Reason: messenger.EndComplete,
		Status: 200, Length: output.Length(), Checksum: output.Checksum(),
	})
}

// outcomeOf dispatches one request to two sidecars, the first of which may be
// silent, and returns the outcome and the messages sent to the sidecars.
func outcomeOf(t *testing.T, silent bool, r Request, budget *limiter.RetryBudget) (string, []string) {
	var got string
	var sent []string
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		clock := clockwork.NewRealClock()
		heartbeats := heartbeater.New(clock, heartbeater.DefaultOptions())
		d := New(clock, router.New(clock, router.NewRandom(1), router.LeastExpectedWait{}), heartbeats, budget, noGoals{}, oneConfiguration{}, DefaultOptions())
		s := &sidecars{silent: silent, sent: make(chan string, 16)}
		for _, name := range []string{"worker-1", "worker-2"} {
			entryEnd, sidecarEnd := messenger.NewPipe()
			go func() { _ = d.Serve(ctx, entryEnd) }()
			go s.serve(ctx, sidecarEnd, name)
		}
		synctest.Wait()
		r.ID, r.Service, r.Call, r.Deadline = identifier.NewRequestID(), "lookup", "lookup", clock.Now().Add(10*time.Second)
		switch o := d.Dispatch(ctx, r).(type) {
		case Completed:
			got = string(o.Body)
		case NotRun:
			got = "not run: " + string(o.Code)
		case Unknown:
			got = "unknown: " + string(o.Code)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second)
		close(s.sent)
		for m := range s.sent {
			sent = append(sent, m)
		}
	})
	return got, sent
}

func TestDispatch_HedgesSilentAttemptOnlyIfAllowed(t *testing.T) {
	stream := func([]byte) error { return nil }
	cases := []struct {
		name    string
		silent  bool
		request Request
		budget  float64
		want    string
		sent    []string
	}{
		{"idempotent, not silent", false, Request{Idempotent: true}, 1, "whole", []string{"start"}},
		{"idempotent", true, Request{Idempotent: true}, 1, "whole", []string{"start", "start", "cancel"}},
		{"not idempotent", true, Request{}, 1, "unknown: timeout", []string{"start", "cancel"}},
		{"no budget", true, Request{Idempotent: true}, 0, "unknown: timeout", []string{"start", "cancel"}},
		{"streamed", true, Request{Idempotent: true, Stream: stream}, 1, "unknown: timeout", []string{"start", "cancel"}},
		{"sample", true, Request{Idempotent: true, Sample: "group/0"}, 1, "unknown: timeout", []string{"start", "cancel"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, sent := outcomeOf(t, c.silent, c.request, limiter.NewRetryBudget(0.1, c.budget))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.sent, sent); diff != "" {
				t.Errorf("sent to the sidecars (-want +got):\n%s", diff)
			}
		})
	}
}
