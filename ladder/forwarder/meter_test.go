package forwarder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// startList has the starts of account x as times since its creation.
type startList struct {
	began  time.Time
	mutex  sync.Mutex
	starts []time.Duration
}

// RecordStart implements Meter.
func (l *startList) RecordStart(account identifier.AccountName, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if account == "x" {
		l.starts = append(l.starts, at.Sub(l.began))
	}
}

// Guards against starts that are missed or counted though no target began: refusals, attempts that were
// not sent, connections that are reset at once, and items.
func TestForward_RecordsStarts(t *testing.T) {
	const ms = time.Millisecond
	plain, stream := route(cataloger.KindIdempotent, 3), route(cataloger.KindStream, 3)
	stream.Resumable = true
	resets := faker.Behaviour{BreaksOff: true}
	for name, c := range map[string]struct {
		route cataloger.Route
		first faker.Behaviour
		owed  bool
		want  []time.Duration
	}{
		"answer":                     {route: plain, first: faker.Behaviour{Delay: 20 * ms}, want: []time.Duration{1 * ms}},
		"error of the target":        {route: plain, first: faker.Behaviour{Delay: 20 * ms, Status: 500}, want: []time.Duration{1 * ms, 21 * ms}},
		"not run":                    {route: plain, first: faker.Behaviour{Delay: 20 * ms, NotRun: true, Status: 503}, want: []time.Duration{21 * ms}},
		"not sent":                   {route: plain, first: faker.Behaviour{NotSent: true}, want: []time.Duration{1 * ms}},
		"reset at once":              {route: plain, first: resets, want: []time.Duration{1 * ms}},
		"item":                       {route: plain, owed: true},
		"second target asked":        {route: plain, first: faker.Behaviour{Silent: true}, want: []time.Duration{51 * ms, 1 * ms}},
		"stream":                     {route: stream, first: faker.Behaviour{Delay: 30 * ms, Events: 3}, want: []time.Duration{30 * ms}},
		"stream that goes on":        {route: stream, first: faker.Behaviour{Delay: 30 * ms, Events: 3, BreakAfter: 1}, want: []time.Duration{30 * ms, 40 * ms}},
		"stream refused":             {route: stream, first: faker.Behaviour{NotRun: true, Status: 503}, want: []time.Duration{10 * ms}},
		"stream with an error":       {route: route(cataloger.KindStream, 1), first: faker.Behaviour{Delay: 5 * ms, Status: 500}, want: []time.Duration{1 * ms}},
		"stream without a first one": {route: stream, first: resets, want: []time.Duration{10 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newForwarder(func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
					switch {
					case n == 0:
						return c.first
					case c.route.Kind == cataloger.KindStream:
						return faker.Behaviour{Delay: 10 * ms, Events: 3}
					}
					return faker.Behaviour{}
				})
				list := &startList{began: time.Now()}
				WithMeter(list)(f)
				ctx, cancel := context.WithCancel(t.Context())
				r := Request{ID: "r", Account: "x", Owed: c.owed}
				if c.route.Kind == cataloger.KindStream {
					if s, ok := f.ForwardStream(ctx, c.route, r).(*Stream); ok {
						for err := error(nil); err == nil; {
							_, err = s.Next()
						}
						s.Close()
					}
				} else {
					f.Forward(ctx, c.route, r)
				}
				cancel()
				synctest.Wait()
				if diff := cmp.Diff(c.want, list.starts); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against requests under which a target crashes and that are not counted.
func TestRecordPlainStart_WithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newForwarder(nil)
		list := &startList{began: time.Now()}
		WithMeter(list)(f)
		time.Sleep(minBrokenRun)
		f.recordPlainStart(Request{Account: "x"}, list.began, nil, sender.ErrNoResponse)
		f.recordPlainStart(Request{Account: "x"}, time.Now(), nil, sender.ErrNoResponse)
		f.recordPlainStart(Request{Account: "x"}, list.began, nil, sender.ErrNotSent)
		f.recordPlainStart(Request{Account: "x"}, list.began, &sender.Response{SentAt: list.began.Add(5 * time.Millisecond)}, nil)
		if diff := cmp.Diff([]time.Duration{startDelay, startDelay + 5*time.Millisecond}, list.starts); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}
