// Package heartbeater runs a link: it sends heartbeats, hands on what comes,
// and gives the link up when the peer has been silent for too long.
package heartbeater

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A connection can go silent for good while new ones work, so silence on one
// link says nothing of the peer: the link is closed and dialled anew.

// ErrPeerSilent says that nothing came for the deadline.
var ErrPeerSilent = errors.New("peer silent")

// Options bound a link's silence.
type Options struct {
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Deadline is the silence after which a link is given up. It is several
	// intervals long.
	Deadline time.Duration
}

// DefaultOptions lets two heartbeats be lost.
func DefaultOptions() Options {
	return Options{Interval: time.Second, Deadline: 3500 * time.Millisecond}
}

// Settings are the flags of a program that has links. The peers' intervals
// must be well below the deadline here.
type Settings struct {
	HeartbeatInterval time.Duration `help:"Time between heartbeats on a link." default:"1s"`
	HeartbeatDeadline time.Duration `help:"Silence after which a link is given up." default:"3500ms"`
}

// leastBeats is how many intervals the deadline must have, so that one lost
// heartbeat ends no link.
const leastBeats = 2

// Validate checks what the flags' types don't.
func (s Settings) Validate() error {
	if s.HeartbeatInterval <= 0 {
		return errors.Errorf("--heartbeat-interval: %s is not above 0", s.HeartbeatInterval)
	}
	if least := leastBeats * s.HeartbeatInterval; s.HeartbeatDeadline < least {
		return errors.Errorf("--heartbeat-deadline: %s is below %d intervals, %s", s.HeartbeatDeadline, leastBeats, least)
	}
	return nil
}

// Options returns the settings as Options.
func (s Settings) Options() Options {
	return Options{Interval: s.HeartbeatInterval, Deadline: s.HeartbeatDeadline}
}

// Heartbeater runs links.
type Heartbeater struct {
	clock   clockwork.Clock
	options Options
}

// New returns a Heartbeater.
func New(clock clockwork.Clock, options Options) *Heartbeater {
	return &Heartbeater{clock: clock, options: options}
}

// Run hands every message to handle until the link fails, the peer falls
// silent or ctx ends; it closes the link and says why. beat makes each
// heartbeat; its goals are left out while they are those sent before on this
// link, which gives messages in order or fails.
func (h *Heartbeater) Run(ctx context.Context, l messenger.Link, beat func() messenger.Heartbeat, handle func(messenger.Message) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	defer l.Close()
	tasks.Go(func() { h.send(ctx, l, beat) })
	for {
		m, err := h.receive(ctx, l)
		if err != nil {
			return err
		}
		if err := handle(m); err != nil {
			return err
		}
	}
}

func (h *Heartbeater) send(ctx context.Context, l messenger.Link, beat func() messenger.Heartbeat) {
	ticker := h.clock.NewTicker(h.options.Interval)
	defer ticker.Stop()
	var sent []messenger.WeightGoal
	for {
		m := beat()
		if slices.EqualFunc(m.Goals, sent, messenger.WeightGoal.EqualIgnoringAge) {
			m.Goals = nil
		} else {
			sent = m.Goals
		}
		if h.SendWithDeadline(ctx, l, m) != nil {
			_ = l.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// SendWithDeadline sends m, and gives up after the deadline of a silent link.
func (h *Heartbeater) SendWithDeadline(ctx context.Context, l messenger.Link, m messenger.Message) error {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, h.options.Deadline)
	defer cancel()
	return l.Send(ctx, m)
}

func (h *Heartbeater) receive(ctx context.Context, l messenger.Link) (messenger.Message, error) {
	bounded, cancel := clockwork.WithTimeout(ctx, h.clock, h.options.Deadline)
	defer cancel()
	m, err := l.Receive(bounded)
	if err != nil && ctx.Err() == nil && bounded.Err() != nil {
		return nil, ErrPeerSilent
	}
	return m, err
}
