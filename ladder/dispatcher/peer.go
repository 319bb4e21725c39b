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

// helloTimeout bounds the wait for the first message on a new link.
const helloTimeout = 5 * time.Second

var (
	errUnexpectedMessage  = errors.New("message type not valid for an entry")
	errNoHello            = errors.New("first message is not a complete Hello")
	errNewerSidecarLinked = errors.New("a newer incarnation of the sidecar is linked")
)

type attemptKey struct {
	request identifier.RequestID
	attempt identifier.AttemptNumber
}

// peer is one incarnation of a sidecar.
type peer struct {
	target      identifier.TargetName
	incarnation identifier.Incarnation
	service     identifier.ServiceName
	zone        identifier.ZoneName
	// link is nil while the sidecar is not linked.
	link messenger.Link
	// announcedGoal is the goal last sent by AnnounceGoals.
	announcedGoal messenger.WeightGoal
	leaving       bool
	revision      identifier.Revision
	load          messenger.Load
	loadAt        time.Time
	// sentConfiguration is the Configuration last sent on this link, with the
	// newest revision at which it is unchanged.
	sentConfiguration messenger.Configuration
	// linkFailures counts failed links; it tells an expired reconnect timer
	// whether it is outdated.
	linkFailures int
	// attempts are the open attempts at this incarnation.
	attempts map[attemptKey]*attempt
	// lost is closed when the incarnation is given up.
	lost chan struct{}
	// locateReplies receives the reply to a Locate.
	locateReplies chan messenger.Located
}

// acceptsWork reports whether the peer may be sent work. Before it is
// configured a sidecar has no queue. The caller holds the dispatcher's mutex.
func (p *peer) acceptsWork() bool {
	return p.link != nil && p.sentConfiguration.Revision > 0 && !p.leaving
}

// Serve serves the link of one sidecar until it fails or ctx ends.
func (d *Dispatcher) Serve(ctx context.Context, l messenger.Link) error {
	hello := messenger.Hello{
		Name: string(d.options.Entry), Incarnation: d.options.Incarnation,
		Zone: d.options.Zone,
	}
	if err := d.heartbeats.SendWithDeadline(ctx, l, hello); err != nil {
		return err
	}
	p, err := d.receiveHello(ctx, l)
	if err != nil {
		_ = l.Close()
		return err
	}
	klog.InfoS("sidecar linked", "target", p.target, "incarnation", p.incarnation, "zone", p.zone)
	d.resync(ctx, p, l)
	newHeartbeat := func() messenger.Heartbeat { return d.heartbeat(p) }
	err = d.heartbeats.Run(ctx, l, newHeartbeat, func(m messenger.Message) error { return d.handle(ctx, p, l, m) })
	klog.InfoS("sidecar link ended", "target", p.target, "incarnation", p.incarnation, "err", err)
	d.handleLinkFailure(p, l)
	return err
}

// receiveHello waits for the sidecar's Hello and makes l the link of its peer.
func (d *Dispatcher) receiveHello(ctx context.Context, l messenger.Link) (*peer, error) {
	helloCtx, cancel := clockwork.WithTimeout(ctx, d.clock, helloTimeout)
	defer cancel()
	m, err := l.Receive(helloCtx)
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
	// Incarnations are UUIDv7, so the later one is larger. Without this check a
	// sidecar that was paused and replaced would alternate with its successor
	// forever.
	if p != nil && p.link != nil && hello.Incarnation < p.incarnation {
		return nil, errNewerSidecarLinked
	}
	if p == nil || p.incarnation != hello.Incarnation {
		if p != nil {
			d.discard(p)
		}
		p = &peer{
			target: identifier.TargetName(hello.Name), incarnation: hello.Incarnation,
			service: hello.Service, zone: hello.Zone,
			attempts: make(map[attemptKey]*attempt), lost: make(chan struct{}),
			locateReplies: make(chan messenger.Located, 1),
		}
		d.peers[p.target] = p
		d.scheduleReconfigure(p.service)
	}
	if p.link != nil {
		_ = p.link.Close()
	}
	p.link, p.leaving, p.revision = l, hello.Leaving, hello.Revision
	p.sentConfiguration, p.announcedGoal = messenger.Configuration{}, messenger.WeightGoal{}
	return p, nil
}

// resync sends the sidecar its configuration and the known crashes, and
// requests each open response from the offset reached so far.
func (d *Dispatcher) resync(ctx context.Context, p *peer, l messenger.Link) {
	d.configure(ctx, p)
	d.mutex.Lock()
	var messages []messenger.Message
	for _, a := range p.attempts {
		messages = append(messages, a.resumeMessage())
	}
	d.mutex.Unlock()
	for _, m := range d.quarantine.Crashes() {
		messages = append(messages, m)
	}
	for _, m := range messages {
		if d.heartbeats.SendWithDeadline(ctx, l, m) != nil {
			_ = l.Close()
			return
		}
	}
}

// handleLinkFailure marks the peer as unlinked and discards it if it does not
// reconnect within ReconnectTimeout.
func (d *Dispatcher) handleLinkFailure(p *peer, l messenger.Link) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p.link != l {
		return
	}
	p.link = nil
	p.linkFailures++
	failures := p.linkFailures
	d.clock.AfterFunc(d.options.ReconnectTimeout, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if p.link == nil && p.linkFailures == failures {
			d.discard(p)
		}
	})
}

// discard removes a peer and ends all its attempts without a result. The caller
// holds the mutex.
func (d *Dispatcher) discard(p *peer) {
	select {
	case <-p.lost:
		return
	default:
	}
	close(p.lost)
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
		d.scheduleReconfigure(p.service)
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
			d.scheduleReconfigure(p.service)
		}
		p.leaving, p.revision, p.load, p.loadAt = m.Leaving, m.Revision, m.Load, d.clock.Now()
		d.mutex.Unlock()
		return nil
	case messenger.Chunk:
		return d.handleChunk(ctx, p, l, m)
	case messenger.End:
		return d.handleEnd(ctx, p, l, m)
	case messenger.Refused:
		d.setResult(p, attemptKey{m.Request, m.Attempt}, m.Incarnation, m)
		return nil
	case messenger.Located:
		select {
		case p.locateReplies <- m:
		default:
		}
		return nil
	case messenger.Crashed:
		if d.quarantine.RecordCrash(m) {
			go d.broadcastCrashes(ctx, p, m)
		}
		return nil
	case messenger.Start, messenger.Cancel, messenger.Resume, messenger.Release, messenger.Configuration, messenger.Locate,
		messenger.Question, messenger.Reply:
		return errUnexpectedMessage
	}
	return errUnexpectedMessage
}
