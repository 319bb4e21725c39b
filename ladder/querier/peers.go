// Package querier asks other entries and answers them, over one link to each.
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

// avoidFor is how long a peer isn't asked that hasn't answered.
const avoidFor = 2 * time.Second

// Dialer opens links to peers; *linker.Linker does.
type Dialer interface {
	Dial(ctx context.Context, address string) (messenger.Link, error)
}

// Querier holds one link to each peer that is asked.
type Querier struct {
	clock  clockwork.Clock
	dialer Dialer

	mutex sync.Mutex
	links map[string]*peer
	// avoided says until when a peer isn't asked.
	avoided map[string]time.Time
}

// New returns a Consulter without links.
func New(clock clockwork.Clock, d Dialer) *Querier {
	return &Querier{clock: clock, dialer: d, links: make(map[string]*peer), avoided: make(map[string]time.Time)}
}

// peer is one open link. Its task is receive.
type peer struct {
	link messenger.Link

	mutex sync.Mutex
	last  uint64
	// waiting is nil after the link has failed.
	waiting map[uint64]chan messenger.Reply
}

// ErrPeerBackoff says that the peer wasn't asked.
var ErrPeerBackoff = errors.New("the peer hasn't answered lately")

// Ask asks the peer at address. After an error other than ErrAvoided the question
// may have been carried out.
func (c *Querier) Ask(ctx context.Context, address string, q messenger.Question) (a messenger.Reply, err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrPeerBackoff) && !errors.Is(ctx.Err(), context.Canceled) {
			c.drop(address)
		}
	}()
	l, err := c.linkTo(ctx, address)
	if err != nil {
		return a, err
	}
	return l.ask(ctx, q)
}

func (c *Querier) linkTo(ctx context.Context, address string) (*peer, error) {
	c.mutex.Lock()
	l, ok := c.links[address]
	avoided := c.avoided[address].After(c.clock.Now())
	c.mutex.Unlock()
	if ok {
		return l, nil
	}
	if avoided {
		return nil, ErrPeerBackoff
	}
	link, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l = &peer{link: link, waiting: make(map[uint64]chan messenger.Reply)}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if other, ok := c.links[address]; ok {
		link.Close()
		return other, nil
	}
	c.links[address] = l
	go func() {
		defer c.forget(address, l)
		if recoverer.CatchPanic("answers of a peer", l.receive) != nil {
			l.close()
		}
	}()
	return l, nil
}

// drop closes the link to a peer and leaves it alone for a while.
func (c *Querier) drop(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.avoided[address] = c.clock.Now().Add(avoidFor)
	if l, ok := c.links[address]; ok {
		l.link.Close()
		delete(c.links, address)
	}
}

func (c *Querier) forget(address string, l *peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
}

// receive hands answers to those who wait, until the link fails.
func (l *peer) receive() {
	for {
		m, err := l.link.Receive(context.Background())
		a, ok := m.(messenger.Reply)
		if err != nil || !ok {
			break
		}
		l.hand(a)
	}
	l.close()
}

// hand hands an answer to whoever waits for it.
func (l *peer) hand(a messenger.Reply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if w, ok := l.waiting[a.ID]; ok {
		w <- a
		delete(l.waiting, a.ID)
	}
}

// close ends the link and the waiting of all who asked over it.
func (l *peer) close() {
	l.link.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, w := range l.waiting {
		close(w)
	}
	l.waiting = nil
}

func (l *peer) ask(ctx context.Context, q messenger.Question) (a messenger.Reply, err error) {
	answer := make(chan messenger.Reply, 1)
	l.mutex.Lock()
	if l.waiting == nil {
		l.mutex.Unlock()
		return a, messenger.ErrClosed
	}
	l.last++
	q.ID = l.last
	l.waiting[q.ID] = answer
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.waiting, q.ID)
	}()
	if err := l.link.Send(ctx, q); err != nil {
		return a, err
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return a, messenger.ErrClosed
		}
		return a, nil
	case <-ctx.Done():
		return a, ctx.Err()
	}
}
