package gatekeeper

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Guards against a stopping host that takes what it can't end, or refuses what it can.
func TestDecide_TakesWhatCanEnd(t *testing.T) {
	const left = 5 * time.Second
	for name, c := range map[string]struct {
		limit, usual, left time.Duration
		want               Decision
	}{
		"its own limit ends it":           {2 * time.Second, 9 * time.Second, left, Taken{}},
		"usually short":                   {20 * time.Second, time.Second, left, Taken{}},
		"no limit, usually short":         {0, time.Second, left, Taken{}},
		"usually long":                    {20 * time.Second, 9 * time.Second, left, Refused{left, 9 * time.Second}},
		"unknown, may be long":            {20 * time.Second, 0, left, Refused{left, 0}},
		"unknown, no limit":               {0, 0, left, Refused{left, 0}},
		"after the last responses":        {time.Millisecond, time.Millisecond, 0, Refused{0, time.Millisecond}},
		"long after the last responses":   {time.Millisecond, time.Millisecond, -left, Refused{-left, time.Millisecond}},
		"just as long as there is left":   {left, 0, left, Taken{}},
		"usually as long as there's left": {0, left, left, Taken{}},
	} {
		if diff := cmp.Diff(c.want, decide(Request{Limit: c.limit}, c.left, c.usual)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against a host that refuses requests before it stops, and forgets how long they take.
func TestGatekeeper_FollowsTheHost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(clock)
	long := Request{Route: "long", Limit: time.Minute}
	if diff := cmp.Diff(Decision(Taken{}), g.Decide(long)); diff != "" {
		t.Error(diff)
	}
	for _, took := range []time.Duration{time.Second, 9 * time.Second, time.Second} {
		g.Observe("long", took)
	}
	g.Stop(7 * time.Second)
	clock.Advance(2 * time.Second)
	if diff := cmp.Diff(Decision(Refused{5 * time.Second, 9 * time.Second}), g.Decide(long)); diff != "" {
		t.Error(diff)
	}
	for range 2 * recentWindow {
		g.Observe("long", time.Second)
	}
	if diff := cmp.Diff(Decision(Taken{}), g.Decide(long)); diff != "" {
		t.Error(diff)
	}
	ctx, cancel := g.Context(context.Background())
	defer cancel()
	if ctx.Err() != nil {
		t.Error("a request ends before the host's last responses")
	}
	g.End()
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, ErrStopping) {
		t.Errorf("the cause is %v", err)
	}
}
