package injector

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// ErrDead is what every port call of a killed process returns.
var ErrDead = errors.New("process is dead")

// Process is one incarnation of a process: the ports that it was given fail
// without effect once it is dead, and stand still while it is paused.
type Process struct {
	injector *Injector
	name     string
	// life ends when the process is killed.
	life context.Context
	end  context.CancelFunc

	mutex sync.Mutex
	// thawAt is when the last pause ends.
	thawAt time.Time
	// links are open; the kernel closes them when the process dies.
	links map[messenger.Link]struct{}
}

// Start returns a new incarnation of the process called name.
func (i *Injector) Start(name string) *Process {
	life, end := context.WithCancel(i.life)
	return &Process{injector: i, name: name, life: life, end: end, links: make(map[messenger.Link]struct{})}
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Dead is closed when the process has been killed.
func (p *Process) Dead() <-chan struct{} { return p.life.Done() }

// Kill makes every port call from now on an error without effect. Closing its
// links is the kernel's doing.
func (p *Process) Kill() {
	p.mutex.Lock()
	if p.life.Err() != nil {
		p.mutex.Unlock()
		return
	}
	p.end()
	links := p.links
	p.links = make(map[messenger.Link]struct{})
	p.mutex.Unlock()
	for l := range links {
		_ = l.Close()
	}
	p.injector.killed(p)
}

// Pause stops every port call for d.
func (p *Process) Pause(d time.Duration) {
	p.injector.busyFor(d)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.thawAt = p.injector.clock.Now().Add(d)
}

// WaitWhilePaused waits until the process isn't paused; it returns ErrDead if it has
// been killed.
func (p *Process) WaitWhilePaused() error { return p.awake() }

func (p *Process) awake() error {
	for {
		p.mutex.Lock()
		left := p.thawAt.Sub(p.injector.clock.Now())
		p.mutex.Unlock()
		if p.life.Err() != nil {
			return ErrDead
		}
		if left <= 0 {
			return nil
		}
		select {
		case <-p.injector.clock.After(left):
		case <-p.life.Done():
		}
	}
}

// bind returns a context that also ends when the process dies.
func (p *Process) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.life, cancel)
	return ctx, func() { stop(); cancel() }
}

func (p *Process) keep(l messenger.Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.life.Err() != nil {
		_ = l.Close()
		return
	}
	p.links[l] = struct{}{}
}

func (p *Process) drop(l messenger.Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
}
