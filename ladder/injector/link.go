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

func linkKinds() []Kind { return append(processKinds(), Silent) }

// receiveKinds omits KilledAfter, which is the same as KilledBefore at the next
// step.
func receiveKinds() []Kind {
	return []Kind{Refused, AnswerLost, Slow, KilledBefore, PausedBriefly, Paused, Silent}
}

// Dialer returns a Dialer that injects the faults of the process. names maps an
// address to the name of the peer.
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
	c := Call{Port: "link-" + peer, Name: "dial", Kinds: processKinds(), RefusedError: errInjected, LostError: errInjected}
	var l messenger.Link
	err := d.process.Do(ctx, c, func(ctx context.Context) (err error) {
		l, err = d.dialer.Dial(ctx, address)
		return err
	})
	if err != nil {
		if l != nil {
			_ = l.Close()
		}
		return nil, err
	}
	return d.process.Link(l, peer), nil
}

// Link returns the process's end of a link to the peer that injects the faults of
// the process.
func (p *Process) Link(l messenger.Link, peer string) messenger.Link {
	faulty := &link{process: p, link: l, port: "link-" + peer, sendSlot: make(chan struct{}, 1)}
	p.trackLink(l)
	return faulty
}

type link struct {
	process *Process
	link    messenger.Link
	port    string
	// sendSlot holds one element while a message is being sent, so that sends
	// happen one at a time.
	sendSlot chan struct{}
	// silent is set by the Silent fault and never reset.
	silent atomic.Bool
}

// messageName returns the name of a message's type in lower case. Type names of one
// word need no hyphens.
func messageName(m messenger.Message) string { return strings.ToLower(reflect.TypeOf(m).Name()) }

func (l *link) Send(ctx context.Context, m messenger.Message) error {
	if err := l.process.waitWhilePaused(); err != nil {
		return err
	}
	ctx, cancel := l.process.untilKilled(ctx)
	defer cancel()
	select {
	case l.sendSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.sendSlot }()
	if l.silent.Load() {
		return nil
	}
	kind := l.process.injector.recordStep(l.process.name, l.port, "send-"+messageName(m), linkKinds())
	c := Call{RefusedError: messenger.ErrClosed, LostError: messenger.ErrClosed}
	// A process that is paused here has already checked its deadlines, so the send
	// takes effect after the pause even if ctx has ended by then.
	if kind == Paused || kind == PausedBriefly {
		c.OutlivesCaller = true
	}
	err := l.process.applyFault(kind, ctx, c, func(ctx context.Context) error {
		if kind == Silent {
			l.silent.Store(true)
			return nil
		}
		return l.link.Send(ctx, m)
	})
	if kind == Refused || kind == AnswerLost || kind == Slow && err != nil {
		_ = l.link.Close()
	}
	if killed := l.process.waitWhilePaused(); killed != nil {
		return killed
	}
	return err
}

func (l *link) Receive(ctx context.Context) (messenger.Message, error) {
	ctx, cancel := l.process.untilKilled(ctx)
	defer cancel()
	for {
		if err := l.process.waitWhilePaused(); err != nil {
			return nil, err
		}
		m, err := l.link.Receive(ctx)
		if err != nil {
			return nil, err
		}
		if killed := l.process.waitWhilePaused(); killed != nil {
			return nil, killed
		}
		if l.silent.Load() {
			continue
		}
		kind := l.process.injector.recordStep(l.process.name, l.port, "receive-"+messageName(m), receiveKinds())
		delivered, err := l.applyReceiveFault(ctx, kind)
		if err != nil {
			return nil, err
		}
		if delivered {
			return m, nil
		}
	}
}

// applyReceiveFault injects the fault into a receive. It returns whether the
// message is delivered to the process.
func (l *link) applyReceiveFault(ctx context.Context, kind Kind) (bool, error) {
	switch kind {
	case Refused:
		_ = l.link.Close()
		return false, fmt.Errorf("receive: %w", messenger.ErrClosed)
	case AnswerLost:
		_ = l.link.Close()
	case Slow:
		return true, l.process.waitSlowCall(ctx)
	case KilledBefore, KilledAfter:
		l.process.Kill()
		return false, ErrDead
	case PausedBriefly, Paused:
		l.process.Pause(l.process.injector.pauseDuration(kind))
		return true, l.process.waitWhilePaused()
	case Silent:
		l.silent.Store(true)
		return false, nil
	case TargetCrashed:
	}
	return true, nil
}

func (l *link) Close() error {
	l.process.untrackLink(l.link)
	return l.link.Close()
}
