package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// peers holds one link to each peer that is asked.
type peers struct {
	clock  clockwork.Clock
	dialer Dialer

	mutex sync.Mutex
	links map[string]*peer
	// avoided says until when a peer isn't asked.
	avoided map[string]time.Time
}

func newPeers(clock clockwork.Clock, d Dialer) *peers {
	return &peers{clock: clock, dialer: d, links: make(map[string]*peer), avoided: make(map[string]time.Time)}
}

// peer is one open link. Its task is receive.
type peer struct {
	link messenger.Link

	mutex sync.Mutex
	last  uint64
	// waiting is nil after the link has failed.
	waiting map[uint64]chan messenger.JobAnswer
}

var errAvoided = errors.New("the peer hasn't answered lately")

// call asks the peer at address. After an error the call may have been carried
// out.
func (p *peers) call(ctx context.Context, address string, c messenger.JobCall) (a messenger.JobAnswer, err error) {
	defer func() {
		if err != nil && !errors.Is(err, errAvoided) && !errors.Is(ctx.Err(), context.Canceled) {
			p.drop(address)
		}
	}()
	l, err := p.linkTo(ctx, address)
	if err != nil {
		return a, err
	}
	return l.call(ctx, c)
}

func (p *peers) linkTo(ctx context.Context, address string) (*peer, error) {
	p.mutex.Lock()
	l, ok := p.links[address]
	avoided := p.avoided[address].After(p.clock.Now())
	p.mutex.Unlock()
	if ok {
		return l, nil
	}
	if avoided {
		return nil, errAvoided
	}
	link, err := p.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l = &peer{link: link, waiting: make(map[uint64]chan messenger.JobAnswer)}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if other, ok := p.links[address]; ok {
		link.Close()
		return other, nil
	}
	p.links[address] = l
	go func() {
		l.receive()
		p.forget(address, l)
	}()
	return l, nil
}

// drop closes the link to a peer and leaves it alone for a while.
func (p *peers) drop(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.avoided[address] = p.clock.Now().Add(avoidFor)
	if l, ok := p.links[address]; ok {
		l.link.Close()
		delete(p.links, address)
	}
}

func (p *peers) forget(address string, l *peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[address] == l {
		delete(p.links, address)
	}
}

// receive hands answers to those who wait, until the link fails.
func (l *peer) receive() {
	for {
		m, err := l.link.Receive(context.Background())
		a, ok := m.(messenger.JobAnswer)
		if err != nil || !ok {
			break
		}
		l.mutex.Lock()
		if w, ok := l.waiting[a.Number]; ok {
			w <- a
			delete(l.waiting, a.Number)
		}
		l.mutex.Unlock()
	}
	l.link.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, w := range l.waiting {
		close(w)
	}
	l.waiting = nil
}

func (l *peer) call(ctx context.Context, c messenger.JobCall) (a messenger.JobAnswer, err error) {
	answer := make(chan messenger.JobAnswer, 1)
	l.mutex.Lock()
	if l.waiting == nil {
		l.mutex.Unlock()
		return a, messenger.ErrClosed
	}
	l.last++
	c.Number = l.last
	l.waiting[c.Number] = answer
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.waiting, c.Number)
	}()
	if err := l.link.Send(ctx, c); err != nil {
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
