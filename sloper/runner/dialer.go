package runner

import (
	"context"
	"sync/atomic"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
)

// frameOverheadBytes is the overhead of one small frame: 6 bytes of WebSocket
// header, 52 bytes of TCP and IP headers with timestamps, and 52 bytes for a
// TCP acknowledgement that is not piggybacked.
const frameOverheadBytes = 110

// countingDialer counts the frames and bytes sent and received on the links
// that it dials.
type countingDialer struct {
	dialer  supervisor.Dialer
	encoder *encoder.Encoder
	bytes   atomic.Int64
	frames  atomic.Int64
}

// Dial implements supervisor.Dialer.
func (c *countingDialer) Dial(ctx context.Context, address string) (messenger.Link, error) {
	l, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingLink{Link: l, dialer: c}, nil
}

func (c *countingDialer) countMessage(m messenger.Message) {
	frame, err := c.encoder.Encode(m)
	if err != nil {
		return
	}
	c.bytes.Add(int64(len(frame) + frameOverheadBytes))
	c.frames.Add(1)
}

type countingLink struct {
	messenger.Link
	dialer *countingDialer
}

// Send implements messenger.Link.
func (l *countingLink) Send(ctx context.Context, m messenger.Message) error {
	l.dialer.countMessage(m)
	return l.Link.Send(ctx, m)
}

// Receive implements messenger.Link.
func (l *countingLink) Receive(ctx context.Context) (messenger.Message, error) {
	m, err := l.Link.Receive(ctx)
	if err == nil {
		l.dialer.countMessage(m)
	}
	return m, err
}
