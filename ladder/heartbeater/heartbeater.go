// Package heartbeater runs a link: it sends heartbeats, passes on received
// messages, and closes the link when the peer has been silent for too long.
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

// A connection can go silent for good while new ones work, so silence on one link
// doesn't mean that the peer is down: the link is closed and dialed again.

// ErrPeerSilent means that nothing was received within the deadline.
var ErrPeerSilent = errors.New("peer silent")

// Options are the times of a link.
type Options struct {
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Deadline is the silence after which a link is closed. It is several
	// intervals long.
	Deadline time.Duration
}

// DefaultOptions tolerates two lost heartbeats.
func DefaultOptions() Options {
	return Options{Interval: time.Second, Deadline: 3500 * time.Millisecond}
}

// Settings are the flags of a program with links. The intervals of its peers must
// be well below its own deadline.
type Settings struct {
	HeartbeatInterval time.Duration `help:"Time between heartbeats on a link." default:"1s"`
	HeartbeatDeadline time.Duration `help:"Silence after which a link is given up." default:"3500ms"`
}

// minIntervals is the least number of intervals in a deadline, so that one lost
// heartbeat doesn't close a link.
const minIntervals = 2

// Validate checks the relation between the flags, which their types can't express.
func (s Settings) Validate() error {
	if s.HeartbeatInterval <= 0 {
		return errors.Errorf("--heartbeat-interval: %s is not above 0", s.HeartbeatInterval)
	}
	if least := minIntervals * s.HeartbeatInterval; s.HeartbeatDeadline < least {
		return errors.Errorf("--heartbeat-deadline: %s is below %d intervals, %s", s.HeartbeatDeadline, minIntervals, least)
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

// Run passes every message to handle until the link fails, the peer falls silent
// or ctx ends. It then closes the link and returns the reason. makeHeartbeat
// returns each heartbeat. Its goals are omitted while they equal those last sent
// on this link, which delivers messages in order or fails.
func (h *Heartbeater) Run(ctx context.Context, l messenger.Link, makeHeartbeat func() messenger.Heartbeat, handle func(messenger.Message) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	defer l.Close()
	tasks.Go(func() { h.send(ctx, l, makeHeartbeat) })
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

func (h *Heartbeater) send(ctx context.Context, l messenger.Link, makeHeartbeat func() messenger.Heartbeat) {
	ticker := h.clock.NewTicker(h.options.Interval)
	defer ticker.Stop()
	var sent []messenger.WeightGoal
	for {
		m := makeHeartbeat()
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

// SendWithDeadline sends m, and gives up when the link accepts nothing for the deadline.
func (h *Heartbeater) SendWithDeadline(ctx context.Context, l messenger.Link, m messenger.Message) error {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, h.options.Deadline)
	defer cancel()
	return l.Send(ctx, m)
}

func (h *Heartbeater) receive(ctx context.Context, l messenger.Link) (messenger.Message, error) {
	receiveCtx, cancel := clockwork.WithTimeout(ctx, h.clock, h.options.Deadline)
	defer cancel()
	m, err := l.Receive(receiveCtx)
	if err != nil && ctx.Err() == nil && receiveCtx.Err() != nil {
		return nil, ErrPeerSilent
	}
	return m, err
}
