package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// helloTimeout bounds the wait for a new link's first message.
const helloTimeout = 5 * time.Second

var (
	errUnexpected = errors.New("message not for an entry")
	errNoHello    = errors.New("first message is not a hello")
	errReplaced   = errors.New("a later sidecar of the target is linked")
)

type key struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// peer is one incarnation of a sidecar.
type peer struct {
	target      identifier.TargetName
	incarnation identifier.Incarnation
	service     identifier.ServiceName
	zone        identifier.ZoneName
	// link is nil while no link is up.
	link messenger.Link
	// announced is the goal last sent at once.
	announced messenger.WeightGoal
	leaving   bool
	revision  identifier.Revision
	load      messenger.Load
	loadAt    time.Time
	// configured is what this link's sidecar has: the Configuration sent last,
	// at the newest revision under which it is the same.
	configured messenger.Configuration
	// detached counts the links that have failed.
	detached int
	// attempts are those open at this incarnation.
	attempts map[key]*attempt
	// gone is closed when the incarnation will not be heard of again.
	gone chan struct{}
	// located is given the answer to a Locate.
	located chan messenger.Located
}

// usable says whether the peer may be given work: before its configuration it
// has no queue. The caller holds the dispatcher's mutex.
func (p *peer) usable() bool {
	return p.link != nil && p.configured.Revision > 0 && !p.leaving
}

// Serve talks to one sidecar over link until it fails or ctx ends.
func (d *Dispatcher) Serve(ctx context.Context, l messenger.Link) error {
	hello := messenger.Hello{
		Name: string(d.options.Entry), Incarnation: d.options.Incarnation,
		Zone: d.options.Zone,
	}
	if err := d.beats.SendWithDeadline(ctx, l, hello); err != nil {
		return err
	}
	p, err := d.greet(ctx, l)
	if err != nil {
		_ = l.Close()
		return err
	}
	klog.InfoS("sidecar linked", "target", p.target, "incarnation", p.incarnation, "zone", p.zone)
	d.resume(ctx, p, l)
	beat := func() messenger.Heartbeat { return d.heartbeat(p) }
	err = d.beats.Run(ctx, l, beat, func(m messenger.Message) error { return d.handle(ctx, p, l, m) })
	klog.InfoS("sidecar link ended", "target", p.target, "incarnation", p.incarnation, "err", err)
	d.detach(p, l)
	return err
}

// greet waits for the sidecar's hello and makes l its link.
func (d *Dispatcher) greet(ctx context.Context, l messenger.Link) (*peer, error) {
	bounded, cancel := clockwork.WithTimeout(ctx, d.clock, helloTimeout)
	defer cancel()
	m, err := l.Receive(bounded)
	if err != nil {
		return nil, err
	}
	hello, ok := m.(messenger.Hello)
	if !ok || hello.Name == "" || hello.Incarnation == "" || hello.Service == "" {
		return nil, errNoHello
	}
	d.goals.Learn(hello.Goals)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.peers[identifier.TargetName(hello.Name)]
	// Incarnations are UUIDv7, so the later one is larger. A sidecar that was
	// paused and replaced would else take turns with its successor for ever.
	if p != nil && p.link != nil && hello.Incarnation < p.incarnation {
		return nil, errReplaced
	}
	if p == nil || p.incarnation != hello.Incarnation {
		if p != nil {
			d.lose(p)
		}
		p = &peer{
			target: identifier.TargetName(hello.Name), incarnation: hello.Incarnation,
			service: hello.Service, zone: hello.Zone,
			attempts: make(map[key]*attempt), gone: make(chan struct{}),
			located: make(chan messenger.Located, 1),
		}
		d.peers[p.target] = p
		d.changed(p.service)
	}
	if p.link != nil {
		_ = p.link.Close()
	}
	p.link, p.leaving, p.revision = l, hello.Leaving, hello.Revision
	p.configured, p.announced = messenger.Configuration{}, messenger.WeightGoal{}
	return p, nil
}

// resume sends the sidecar its configuration and asks for every open answer
// from where it broke off.
func (d *Dispatcher) resume(ctx context.Context, p *peer, l messenger.Link) {
	d.configure(ctx, p)
	d.mutex.Lock()
	var messages []messenger.Message
	for _, a := range p.attempts {
		messages = append(messages, a.resumption())
	}
	d.mutex.Unlock()
	for _, m := range d.quarantine.Crashes() {
		messages = append(messages, m)
	}
	for _, m := range messages {
		if d.beats.SendWithDeadline(ctx, l, m) != nil {
			_ = l.Close()
			return
		}
	}
}

// detach marks the link as down, and after a while the peer as lost.
func (d *Dispatcher) detach(p *peer, l messenger.Link) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p.link != l {
		return
	}
	p.link = nil
	p.detached++
	detached := p.detached
	d.clock.AfterFunc(d.options.ReconnectTimeout, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if p.link == nil && p.detached == detached {
			d.lose(p)
		}
	})
}

// lose ends every attempt at a peer without an answer. The caller holds the
// mutex.
func (d *Dispatcher) lose(p *peer) {
	select {
	case <-p.gone:
		return
	default:
	}
	close(p.gone)
	if p.link != nil {
		_ = p.link.Close()
		p.link = nil
	}
	for _, a := range p.attempts {
		a.output.End()
	}
	if d.peers[p.target] == p {
		delete(d.peers, p.target)
		d.router.Forget(p.target)
		d.changed(p.service)
	}
}

func (d *Dispatcher) handle(ctx context.Context, p *peer, l messenger.Link, m messenger.Message) error {
	switch m := m.(type) {
	case messenger.Hello:
		return nil
	case messenger.Heartbeat:
		d.goals.Learn(m.Goals)
		d.mutex.Lock()
		if m.Load.SwitchTime != p.load.SwitchTime {
			d.changed(p.service)
		}
		p.leaving, p.revision, p.load, p.loadAt = m.Leaving, m.Revision, m.Load, d.clock.Now()
		d.mutex.Unlock()
		return nil
	case messenger.Chunk:
		return d.chunk(ctx, p, l, m)
	case messenger.End:
		return d.end(ctx, p, l, m)
	case messenger.Refused:
		d.answer(p, key{m.Request, m.Attempt}, m.Incarnation, m)
		return nil
	case messenger.Located:
		select {
		case p.located <- m:
		default:
		}
		return nil
	case messenger.Crashed:
		if d.quarantine.RecordCrash(m) {
			go d.spreadCrashes(ctx, p, m)
		}
		return nil
	case messenger.Start, messenger.Cancel, messenger.Resume, messenger.Release, messenger.Configuration, messenger.Locate,
		messenger.Question, messenger.Reply:
		return errUnexpected
	}
	return errUnexpected
}
