package injector

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// ErrDead is returned by every port call of a killed process.
var ErrDead = errors.New("process is dead")

// Process is one incarnation of a process. Its port calls fail without effect once
// it has been killed, and block while it is paused.
type Process struct {
	injector *Injector
	name     string
	// ctx is canceled when the process is killed or the Injector is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mutex       sync.Mutex
	pausedUntil time.Time
	// links are the open links. Kill closes them, as the kernel does when a process
	// dies.
	links map[messenger.Link]struct{}
}

// Start returns a new incarnation of the named process.
func (i *Injector) Start(name string) *Process {
	ctx, cancel := context.WithCancel(i.ctx)
	return &Process{injector: i, name: name, ctx: ctx, cancel: cancel, links: make(map[messenger.Link]struct{})}
}

// Name returns the process's name, which is the same for all its incarnations.
func (p *Process) Name() string { return p.name }

// Dead returns a channel that is closed when the process is killed or the Injector
// is closed.
func (p *Process) Dead() <-chan struct{} { return p.ctx.Done() }

// Kill makes every later port call fail without effect, and closes the process's
// links as the kernel would.
func (p *Process) Kill() {
	p.mutex.Lock()
	if p.ctx.Err() != nil {
		p.mutex.Unlock()
		return
	}
	p.cancel()
	links := p.links
	p.links = make(map[messenger.Link]struct{})
	p.mutex.Unlock()
	for l := range links {
		_ = l.Close()
	}
	p.injector.onKill(p)
}

// Pause blocks every port call for d.
func (p *Process) Pause(d time.Duration) {
	p.injector.extendDelays(d)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pausedUntil = p.injector.clock.Now().Add(d)
}

// WaitWhilePaused blocks while the process is paused. It returns ErrDead if the
// process has been killed.
func (p *Process) WaitWhilePaused() error { return p.waitWhilePaused() }

func (p *Process) waitWhilePaused() error {
	for {
		p.mutex.Lock()
		left := p.pausedUntil.Sub(p.injector.clock.Now())
		p.mutex.Unlock()
		if p.ctx.Err() != nil {
			return ErrDead
		}
		if left <= 0 {
			return nil
		}
		select {
		case <-p.injector.clock.After(left):
		case <-p.ctx.Done():
		}
	}
}

// untilKilled returns a context that is also canceled when the process is killed.
func (p *Process) untilKilled(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

func (p *Process) trackLink(l messenger.Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx.Err() != nil {
		_ = l.Close()
		return
	}
	p.links[l] = struct{}{}
}

func (p *Process) untrackLink(l messenger.Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
}
