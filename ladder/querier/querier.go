// Package querier sends questions to other entries and answers theirs, over one link
// per peer.
package querier

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// peerBackoff is how long a peer that hasn't answered is not asked again.
const peerBackoff = 2 * time.Second

// Dialer opens links to peers; *transporter.Transporter implements it.
type Dialer interface {
	Dial(ctx context.Context, address string) (messenger.Link, error)
}

// Querier holds one link to each queried peer.
type Querier struct {
	clock  clockwork.Clock
	dialer Dialer

	mutex sync.Mutex
	links map[string]*peer
	// backoffUntil is the time until which a peer isn't asked.
	backoffUntil map[string]time.Time
}

// New returns a Querier without links.
func New(clock clockwork.Clock, d Dialer) *Querier {
	return &Querier{clock: clock, dialer: d, links: make(map[string]*peer), backoffUntil: make(map[string]time.Time)}
}

// peer is one open link. Its goroutine runs receive.
type peer struct {
	link messenger.Link

	mutex  sync.Mutex
	lastID uint64
	// waiting maps the IDs of pending questions to their reply channels; it is nil
	// after the link has failed.
	waiting map[uint64]chan messenger.Reply
}

// ErrPeerBackoff means that the question was not sent because the peer has recently
// failed to answer.
var ErrPeerBackoff = errors.New("the peer hasn't answered lately")

// Ask sends a question to the peer at address. After an error other than ErrPeerBackoff and
// messenger.ErrTooLarge the peer may have processed the question.
func (q *Querier) Ask(ctx context.Context, address string, question messenger.Question) (reply messenger.Reply, err error) {
	defer func() {
		notSent := errors.Is(err, ErrPeerBackoff) || errors.Is(err, messenger.ErrTooLarge)
		if err != nil && !notSent && !errors.Is(ctx.Err(), context.Canceled) {
			q.backOff(address)
		}
	}()
	p, err := q.linkTo(ctx, address)
	if err != nil {
		return reply, err
	}
	return p.ask(ctx, question)
}

func (q *Querier) linkTo(ctx context.Context, address string) (*peer, error) {
	q.mutex.Lock()
	p, ok := q.links[address]
	backingOff := q.backoffUntil[address].After(q.clock.Now())
	q.mutex.Unlock()
	if ok {
		return p, nil
	}
	if backingOff {
		return nil, ErrPeerBackoff
	}
	link, err := q.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p = &peer{link: link, waiting: make(map[uint64]chan messenger.Reply)}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if other, ok := q.links[address]; ok {
		link.Close()
		return other, nil
	}
	q.links[address] = p
	go func() {
		defer q.forget(address, p)
		if recoverer.CatchPanic("receive replies from a peer", p.receive) != nil {
			p.close()
		}
	}()
	return p, nil
}

// backOff closes the link to a peer and sends it nothing for a while.
func (q *Querier) backOff(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.backoffUntil[address] = q.clock.Now().Add(peerBackoff)
	if p, ok := q.links[address]; ok {
		p.link.Close()
		delete(q.links, address)
	}
}

func (q *Querier) forget(address string, p *peer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.links[address] == p {
		delete(q.links, address)
	}
}

// receive delivers replies to their callers until the link fails.
func (p *peer) receive() {
	for {
		m, err := p.link.Receive(context.Background())
		reply, ok := m.(messenger.Reply)
		if err != nil || !ok {
			break
		}
		p.deliver(reply)
	}
	p.close()
}

// deliver passes a reply to its caller.
func (p *peer) deliver(reply messenger.Reply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if waiter, ok := p.waiting[reply.ID]; ok {
		waiter <- reply
		delete(p.waiting, reply.ID)
	}
}

// close closes the link and fails all pending questions.
func (p *peer) close() {
	p.link.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, waiter := range p.waiting {
		close(waiter)
	}
	p.waiting = nil
}

func (p *peer) ask(ctx context.Context, q messenger.Question) (reply messenger.Reply, err error) {
	replies := make(chan messenger.Reply, 1)
	p.mutex.Lock()
	if p.waiting == nil {
		p.mutex.Unlock()
		return reply, messenger.ErrClosed
	}
	p.lastID++
	q.ID = p.lastID
	p.waiting[q.ID] = replies
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.waiting, q.ID)
	}()
	if err := p.link.Send(ctx, q); err != nil {
		return reply, err
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return reply, messenger.ErrClosed
		}
		return reply, nil
	case <-ctx.Done():
		return reply, ctx.Err()
	}
}
