package messenger

import (
	"context"
	"sync"
)

// pipe is a link within one process, for embedding both ends in one process and
// for tests with a fake clock.
type pipe struct {
	in, out chan Message
	// closed is shared by both ends.
	closed *closeSignal
}

type closeSignal struct {
	once sync.Once
	done chan struct{}
}

// pipeCapacity is the number of messages buffered in each direction.
const pipeCapacity = 64

// NewPipe returns the two ends of an in-process link.
func NewPipe() (Link, Link) {
	a, b := make(chan Message, pipeCapacity), make(chan Message, pipeCapacity)
	c := &closeSignal{done: make(chan struct{})}
	return &pipe{in: a, out: b, closed: c}, &pipe{in: b, out: a, closed: c}
}

// Send waits for buffer space until ctx ends.
func (p *pipe) Send(ctx context.Context, m Message) error {
	select {
	case <-p.closed.done:
		return ErrClosed
	default:
	}
	select {
	case p.out <- m:
		return nil
	case <-p.closed.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Receive waits for a message until ctx ends or either end closes.
func (p *pipe) Receive(ctx context.Context) (Message, error) {
	select {
	case m := <-p.in:
		return m, nil
	case <-p.closed.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close closes both ends.
func (p *pipe) Close() error {
	p.closed.once.Do(func() { close(p.closed.done) })
	return nil
}
