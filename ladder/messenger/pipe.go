package messenger

import (
	"context"
	"sync"
)

// Pipe is a link within one process: for embedding both ends together, and
// for tests in virtual time.
type pipe struct {
	in, out chan Message
	// closed is shared by both ends.
	closed *closer
}

type closer struct {
	once sync.Once
	done chan struct{}
}

// pipeCapacity is how many messages wait in each direction.
const pipeCapacity = 64

// NewPipe returns the two ends of a link.
func NewPipe() (Link, Link) {
	a, b := make(chan Message, pipeCapacity), make(chan Message, pipeCapacity)
	c := &closer{done: make(chan struct{})}
	return &pipe{in: a, out: b, closed: c}, &pipe{in: b, out: a, closed: c}
}

// Send waits for room until ctx ends.
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
