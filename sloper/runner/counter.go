package runner

import (
	"context"
	"sync/atomic"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
)

// frameOverhead is what one small frame costs beside its content: 6 bytes of
// WebSocket, 52 of TCP and IP with timestamps, and 52 of an acknowledgement that
// nothing else carries.
const frameOverhead = 110

// counter counts the bytes of both directions of the links dialled through it.
type counter struct {
	dialer  supervisor.Dialer
	encoder *encoder.Encoder
	bytes   atomic.Int64
	frames  atomic.Int64
}

// Dial implements supervisor.Dialer.
func (c *counter) Dial(ctx context.Context, address string) (messenger.Link, error) {
	l, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countedLink{Link: l, counter: c}, nil
}

func (c *counter) count(m messenger.Message) {
	frame, err := c.encoder.Encode(m)
	if err != nil {
		return
	}
	c.bytes.Add(int64(len(frame) + frameOverhead))
	c.frames.Add(1)
}

type countedLink struct {
	messenger.Link
	counter *counter
}

// Send implements messenger.Link.
func (l *countedLink) Send(ctx context.Context, m messenger.Message) error {
	l.counter.count(m)
	return l.Link.Send(ctx, m)
}

// Receive implements messenger.Link.
func (l *countedLink) Receive(ctx context.Context) (messenger.Message, error) {
	m, err := l.Link.Receive(ctx)
	if err == nil {
		l.counter.count(m)
	}
	return m, err
}
