package forwarder

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against an attempt after a request is no longer allowed, against a refusal that hides that
// the request may have run, and against a stream that is cut though its target goes on.
func TestForward_NoAttemptAfterTheRequestIsDisallowed(t *testing.T) {
	refuses, breaks := faker.Behaviour{NotRun: true, Status: 503}, faker.Behaviour{BreaksOff: true}
	stream := route(cataloger.KindStream, 3)
	stream.Resumable, stream.Timeout = true, 10*time.Second
	cases := map[string]struct {
		route cataloger.Route
		first faker.Behaviour
		// allowed is how many attempts are allowed.
		allowed, calls int
		want           string
	}{
		"before the first attempt":        {route(cataloger.KindIdempotent, 3), refuses, 0, 0, "not allowed"},
		"after a refusal":                 {route(cataloger.KindIdempotent, 3), refuses, 1, 1, "not allowed"},
		"not sent":                        {route(cataloger.KindAtMostOnce, 3), faker.Behaviour{NotSent: true}, 1, 0, "not allowed"},
		"after a break":                   {route(cataloger.KindIdempotent, 3), breaks, 1, 1, "unknown"},
		"after a failure":                 {route(cataloger.KindIdempotent, 3), faker.Behaviour{Status: 500}, 1, 1, "response 500"},
		"no second target, no hedge":      {route(cataloger.KindIdempotent, 3), faker.Behaviour{Delay: 500 * time.Millisecond}, 1, 1, "response 200"},
		"stream, before the first":        {stream, refuses, 0, 0, "not allowed"},
		"stream, after a refusal":         {stream, refuses, 1, 1, "not allowed"},
		"stream, after a break":           {stream, breaks, 1, 1, "unknown"},
		"stream, a slow target goes on":   {stream, faker.Behaviour{Events: 3, PauseAfter: 1, Pause: 5 * time.Second}, 1, 1, "stream of 3, EOF"},
		"stream, silent before its head":  {stream, faker.Behaviour{Events: 3, Delay: 5 * time.Second}, 1, 1, "stream of 3, EOF"},
		"stream that its target has left": {stream, faker.Behaviour{Events: 3, BreakAfter: 2}, 1, 1, "stream of 2, unexpected EOF"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts atomic.Int32
				f, targets := newForwarder(func(cataloger.Target, sender.Call, int) faker.Behaviour {
					attempts.Add(1)
					return c.first
				})
				o := forwardAny(f, c.route, Request{ID: "x", Method: "POST", Path: "/p", StillAllowed: func() bool { return int(attempts.Load()) < c.allowed }})
				got := describe(o)
				if s, ok := o.(*Stream); ok {
					numbers, err := readAll(s)
					got = fmt.Sprintf("stream of %d, %v", len(numbers), err)
					s.Close()
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
				if n := len(targets.Calls()); n != c.calls {
					t.Errorf("%d calls, want %d", n, c.calls)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a hedge or retry that loses the account.
func TestForward_EachAttemptHasTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets := newForwarder(func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
			return faker.Behaviour{NotRun: n < 2, Status: []int{503, 503, 200}[min(n, 2)]}
		})
		f.Forward(context.Background(), route(cataloger.KindIdempotent, 3), Request{ID: "x", Account: "a"})
		for _, sent := range targets.Calls() {
			if sent.Call.Account != "a" {
				t.Errorf("%s was told %q", sent.Target, sent.Call.Account)
			}
		}
		if n := len(targets.Calls()); n != 3 {
			t.Errorf("%d calls", n)
		}
		time.Sleep(time.Second)
	})
}
