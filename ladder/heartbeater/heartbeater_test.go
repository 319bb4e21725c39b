package heartbeater

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

var clock = clockwork.NewRealClock()

func goalsWithVersion(version identifier.WeightVersion) (list []messenger.WeightGoal) {
	const models = 32
	for n := range models {
		list = append(list, messenger.WeightGoal{Model: identifier.ModelName(fmt.Sprintf("model-%02d", n)), Version: version})
	}
	return list
}

func TestRun_GoalsOnlyWhenChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := messenger.NewPipe()
		ctx, cancel := context.WithTimeout(t.Context(), 4500*time.Millisecond)
		defer cancel()
		var version identifier.WeightVersion
		makeHeartbeat := func() messenger.Heartbeat {
			version++
			return messenger.Heartbeat{Goals: goalsWithVersion(version / 3)}
		}
		go func() {
			_ = New(clock, Options{Interval: time.Second, Deadline: time.Hour}).Run(ctx, near, makeHeartbeat, nil)
		}()
		var got []int
		for range 5 {
			m, err := far.Receive(ctx)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, len(m.(messenger.Heartbeat).Goals))
		}
		if diff := cmp.Diff([]int{32, 0, 32, 0, 0}, got); diff != "" {
			t.Errorf("goals in each heartbeat (-want +got):\n%s", diff)
		}
	})
}

func TestRun_SilentPeerIsDetectedAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := messenger.NewPipe()
		start := time.Now()
		err := New(clock, DefaultOptions()).Run(t.Context(), near, func() messenger.Heartbeat { return messenger.Heartbeat{} }, nil)
		if diff := cmp.Diff(DefaultOptions().Deadline, time.Since(start)); diff != "" || !errors.Is(err, ErrPeerSilent) {
			t.Errorf("virtual time until the link was closed with %v (-want +got):\n%s", err, diff)
		}
		if near.Send(t.Context(), messenger.Heartbeat{}) == nil {
			t.Error("the link is still open")
		}
	})
}

// countingLink is a Link that counts the bytes sent and fails after a number of messages.
type countingLink struct {
	messenger.Link
	encoder          *encoder.Encoder
	bytes, sendsLeft int
}

func (c *countingLink) Send(_ context.Context, m messenger.Message) error {
	frame, err := c.encoder.Encode(m)
	c.bytes += len(frame)
	if c.sendsLeft--; c.sendsLeft == 0 || err != nil {
		return messenger.ErrClosed
	}
	return nil
}

func (c *countingLink) Close() error { return nil }

// BenchmarkIdleLink reports the bytes per second that an idle link needs in both
// directions at the size it is designed for: frames and their WebSocket headers.
func BenchmarkIdleLink(b *testing.B) {
	const headers = 2 + 6 // a frame of the server, and a masked frame of the client
	e, err := encoder.New()
	if err != nil {
		b.Fatal(err)
	}
	all, total := goalsWithVersion(5000), 0
	for _, m := range []messenger.Heartbeat{
		{Revision: 40000, Goals: all},
		{Revision: 40000, Goals: all, Load: messenger.Load{InFlight: 12, Queued: 3, Slots: 16, Version: 5000}},
	} {
		c := &countingLink{encoder: e, sendsLeft: b.N}
		New(clock, Options{Interval: time.Microsecond, Deadline: time.Hour}).send(b.Context(), c, func() messenger.Heartbeat { return m })
		total += c.bytes
	}
	perHeartbeat := float64(total)/float64(b.N) + headers
	b.ReportMetric(perHeartbeat/DefaultOptions().Interval.Seconds(), "bytes/s")
}
