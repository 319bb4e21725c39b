// Package announcer tells other hosts which targets leave.
package announcer

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// A target that leaves tells each host that calls it. The store lists only some of the hosts of
// a large fleet. A host that hears from a target tells one of those, chosen by the target's
// name, and that one tells the others if it is news to it. While the store is away, each
// host also asks one of them every second. So the first hosts that a leaving target tells
// spare the callers of the others, at one message for each of them.

const (
	// askInterval is the interval at which a host asks for news while the store is away.
	askInterval = time.Second
	// newsWindow bounds the age of the news that are asked for. It exceeds askInterval
	// several times, as questions may get no reply.
	newsWindow = 10 * time.Second
	// startWindow is the same for a host that has just started.
	startWindow = 10 * time.Minute
	// tellTimeout bounds the telling of one host and the reply to a question.
	tellTimeout = time.Second
	// maxKeepers is how many listed hosts are tried, one after the other, until one has
	// taken the news.
	maxKeepers = 3
)

// Options are the settings of an Announcer.
type Options struct {
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that the store lists.
	Members func() []string
	Peers   querier.Peers
	// IntN returns a random number below n.
	IntN func(n int) int
}

// Announcer passes on which targets leave. It implements connector.Departures.
type Announcer struct {
	clock   clockwork.Clock
	catalog *cataloger.Cataloger
	options Options
}

// New returns an Announcer that records in c which targets leave.
func New(clock clockwork.Clock, c *cataloger.Cataloger, o Options) *Announcer {
	return &Announcer{clock: clock, catalog: c, options: o}
}

// RecordLeaving records that a response of the target says that it leaves.
func (a *Announcer) RecordLeaving(t cataloger.Target) {
	if !a.catalog.RecordLeaving(t.Incarnation(), a.clock.Now()) {
		return
	}
	go func() {
		_ = recoverer.CatchPanic("announcement of a leaving target", func() { // already logged
			a.announce(messenger.Departure{Target: t.Name, StartID: t.StartID})
		})
	}()
}

// MayReceive reports whether requests may be sent to a target.
func (a *Announcer) MayReceive(t cataloger.Target) bool { return a.catalog.MayReceive(t.Incarnation()) }

// announce tells the first host for the target that can be reached.
func (a *Announcer) announce(d messenger.Departure) {
	keepers := subsetter.Rank(string(d.Target), a.options.Members())
	for _, address := range keepers[:min(maxKeepers, len(keepers))] {
		if address == a.options.Self {
			a.tellOthers(d)
			return
		}
		if a.tell(address, messenger.Announcement{Departures: []messenger.Departure{d}, PassOn: true}) {
			return
		}
	}
}

func (a *Announcer) tell(address string, n messenger.Announcement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_, err := a.options.Peers.Ask(ctx, address, messenger.Question{Announcement: &n})
	return err == nil
}

func (a *Announcer) tellOthers(departures ...messenger.Departure) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	querier.AskAll(ctx, a.options.Peers, a.others(), messenger.Question{Announcement: &messenger.Announcement{Departures: departures}}, func(messenger.Reply) {})
}

func (a *Announcer) others() []string {
	return slices.DeleteFunc(slices.Clone(a.options.Members()), func(m string) bool { return m == a.options.Self })
}

// Hear records what another host announces, and tells the others if it is news.
func (a *Announcer) Hear(n messenger.Announcement) {
	news := a.learn(n.Departures)
	if !n.PassOn || len(news) == 0 {
		return
	}
	go func() {
		_ = recoverer.CatchPanic("announcement of a leaving target", func() { a.tellOthers(news...) }) // already logged
	}()
}

// learn returns the departures that were not known.
func (a *Announcer) learn(departures []messenger.Departure) (news []messenger.Departure) {
	for _, d := range departures {
		saidAt := a.clock.Now().Add(-max(0, d.Age))
		if a.catalog.RecordLeaving(cataloger.Incarnation{Name: d.Target, StartID: d.StartID}, saidAt) {
			news = append(news, d)
		}
	}
	return news
}

// Departures returns the targets that said within the given time that they leave.
func (a *Announcer) Departures(within time.Duration) (list []messenger.Departure) {
	for i, since := range a.catalog.Departures(within) {
		list = append(list, messenger.Departure{Target: i.Name, StartID: i.StartID, Age: since})
	}
	return list
}

// Run asks other hosts which targets leave, once after the start and then while the store is
// away, until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for introduced := false; ; {
		switch {
		case !introduced:
			introduced = a.ask(ctx, startWindow)
		case a.catalog.StoreFailedWithin(newsWindow):
			a.ask(ctx, newsWindow)
		}
		select {
		case <-a.clock.After(askInterval):
		case <-ctx.Done():
			return
		}
	}
}

// ask asks one of the listed hosts which targets said within the given time that they leave.
func (a *Announcer) ask(ctx context.Context, within time.Duration) bool {
	others := a.others()
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	r, err := a.options.Peers.Ask(ctx, others[a.options.IntN(len(others))], messenger.Question{Departures: within})
	a.learn(r.Departures)
	return err == nil
}
