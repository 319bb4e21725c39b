package injector

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
)

func linkKinds() []Kind { return append(callKinds(), Silent) }

// receiveKinds has no KilledAfter: that is KilledBefore the next step.
func receiveKinds() []Kind {
	return []Kind{Refused, AnswerLost, Slow, KilledBefore, PausedBriefly, Paused, Silent}
}

// Dialer returns the network as the process sees it. names gives the peer's
// name for an address.
func (p *Process) Dialer(d supervisor.Dialer, names map[string]string) supervisor.Dialer {
	return &dialer{process: p, dialer: d, names: names}
}

type dialer struct {
	process *Process
	dialer  supervisor.Dialer
	names   map[string]string
}

func (d *dialer) Dial(ctx context.Context, address string) (messenger.Link, error) {
	peer := d.names[address]
	c := Call{Port: "link-" + peer, Name: "dial", Kinds: callKinds(), RefusedError: errInjected, LostError: errInjected}
	var opened messenger.Link
	err := d.process.Do(ctx, c, func(ctx context.Context) (err error) {
		opened, err = d.dialer.Dial(ctx, address)
		return err
	})
	if err != nil {
		if opened != nil {
			_ = opened.Close()
		}
		return nil, err
	}
	return d.process.Link(opened, peer), nil
}

// Link returns the process's end of a link with the peer.
func (p *Process) Link(l messenger.Link, peer string) messenger.Link {
	decorated := &link{process: p, link: l, port: "link-" + peer, turn: make(chan struct{}, 1)}
	p.keep(l)
	return decorated
}

type link struct {
	process *Process
	link    messenger.Link
	port    string
	// turn is held by the one sender whose message is on its way.
	turn chan struct{}
	// silent is set once the link has gone silent for good.
	silent atomic.Bool
}

// nameOf returns the kebab-case name of a message's type; all are one word.
func nameOf(m messenger.Message) string { return strings.ToLower(reflect.TypeOf(m).Name()) }

func (l *link) Send(ctx context.Context, m messenger.Message) error {
	if err := l.process.awake(); err != nil {
		return err
	}
	ctx, cancel := l.process.bind(ctx)
	defer cancel()
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.turn }()
	if l.silent.Load() {
		return nil
	}
	kind := l.process.injector.reach(l.process.name, l.port, "send-"+nameOf(m), linkKinds())
	c := Call{RefusedError: messenger.ErrClosed, LostError: messenger.ErrClosed}
	// A paused sender has looked at the time before it stood still.
	if kind == Paused || kind == PausedBriefly {
		c.OutlivesCaller = true
	}
	err := l.process.under(kind, ctx, c, func(ctx context.Context) error {
		if kind == Silent {
			l.silent.Store(true)
			return nil
		}
		return l.link.Send(ctx, m)
	})
	if kind == Refused || kind == AnswerLost || kind == Slow && err != nil {
		_ = l.link.Close()
	}
	if dead := l.process.awake(); dead != nil {
		return dead
	}
	return err
}

func (l *link) Receive(ctx context.Context) (messenger.Message, error) {
	ctx, cancel := l.process.bind(ctx)
	defer cancel()
	for {
		if err := l.process.awake(); err != nil {
			return nil, err
		}
		m, err := l.link.Receive(ctx)
		if err != nil {
			return nil, err
		}
		if dead := l.process.awake(); dead != nil {
			return nil, dead
		}
		if l.silent.Load() {
			continue
		}
		kind := l.process.injector.reach(l.process.name, l.port, "receive-"+nameOf(m), receiveKinds())
		taken, err := l.receiveUnder(ctx, kind)
		if err != nil {
			return nil, err
		}
		if taken {
			return m, nil
		}
	}
}

// receiveUnder says whether the message reaches the process.
func (l *link) receiveUnder(ctx context.Context, kind Kind) (bool, error) {
	switch kind {
	case Refused:
		_ = l.link.Close()
		return false, fmt.Errorf("receive: %w", messenger.ErrClosed)
	case AnswerLost:
		_ = l.link.Close()
	case Slow:
		return true, l.process.sleep(ctx)
	case KilledBefore, KilledAfter:
		l.process.Kill()
		return false, ErrDead
	case PausedBriefly, Paused:
		l.process.Pause(l.process.injector.pauseOf(kind))
		return true, l.process.awake()
	case Silent:
		l.silent.Store(true)
		return false, nil
	case TargetCrashed:
	}
	return true, nil
}

func (l *link) Close() error {
	l.process.drop(l.link)
	return l.link.Close()
}
