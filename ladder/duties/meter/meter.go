// Package meter records when targets began to run the requests of client accounts, and
// copies this to other hosts.
package meter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/leaser"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// A start is kept by the host that recorded it and by copyCount of the hosts that the
// platform's store lists, so that it is counted when its host is lost, and also when its
// host isn't listed. Each start has a number of its own within its host's incarnation.
// Hosts exchange ages of starts, since their clocks may differ by seconds.

const (
	// copyInterval is the interval at which new starts are copied. Reports are built 1.5 s
	// after a window's end.
	copyInterval = 500 * time.Millisecond
	// copyCount is how many other hosts keep a start. Two may be lost at once.
	copyCount = 2
	// maxKeepersTried is how many listed hosts are asked until copyCount keep a copy.
	maxKeepersTried = 4
	// copyTimeout bounds the wait for one keeper.
	copyTimeout = 500 * time.Millisecond
	// maxStarts bounds the starts kept of one incarnation; the oldest are dropped. It is
	// 800 a second for a minute, where the busiest hosts specified start some ten. A start takes 32 bytes.
	maxStarts = 50_000
	// maxLogs bounds the incarnations whose starts a host keeps. Each host chooses two
	// of the listed ones, so that few choose the same.
	maxLogs = 1_000
)

// Options are the settings of a Meter.
type Options struct {
	Incarnation identifier.Incarnation
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that may keep starts.
	Members func() []string
	Peers   querier.Peers
	// Retention is how long starts are kept.
	Retention time.Duration
}

// Meter keeps starts of requests, those of this host and those copied to it.
type Meter struct {
	clock     clockwork.Clock
	bootClock leaser.BootTimeClock
	options   Options
	startedAt time.Duration

	mutex sync.Mutex
	own   startLog
	// lastNumber is the number of the newest own start, copied that of the newest one that
	// another host keeps.
	lastNumber, copied identifier.StartNumber
	kept               map[identifier.Incarnation]*startLog
}

// New returns an empty Meter.
func New(clock clockwork.Clock, bootClock leaser.BootTimeClock, o Options) *Meter {
	return &Meter{clock: clock, bootClock: bootClock, options: o, startedAt: bootClock.Elapsed(), kept: make(map[identifier.Incarnation]*startLog)}
}

// RecordStart records that a target began to run a request of an account at a time of this
// process's clock. Requests without an account are not recorded.
func (m *Meter) RecordStart(account identifier.AccountName, at time.Time) {
	if account == "" {
		return
	}
	age := max(0, m.clock.Since(at))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastNumber++
	now := m.bootClock.Elapsed()
	m.own.add(start{account, m.lastNumber, now - age})
	m.own.dropBefore(now - m.options.Retention)
}

// Keep keeps the starts of another host.
func (m *Meter) Keep(c messenger.UsageCopy) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropOld()
	log, ok := m.kept[c.Host]
	if !ok {
		if len(m.kept) >= maxLogs {
			return false
		}
		log = &startLog{}
		m.kept[c.Host] = log
	}
	now := m.bootClock.Elapsed()
	for _, s := range c.Starts {
		if s.Account >= 0 && s.Account < len(c.Accounts) && s.Age >= 0 && s.Age <= m.options.Retention {
			log.add(start{c.Accounts[s.Account], s.Number, now - s.Age})
		}
	}
	return true
}

// dropOld drops the starts whose retention is over. The caller holds the mutex.
func (m *Meter) dropOld() {
	oldest := m.bootClock.Elapsed() - m.options.Retention
	m.own.dropBefore(oldest)
	for i, l := range m.kept {
		if l.dropBefore(oldest); len(l.starts) == 0 {
			delete(m.kept, i)
		}
	}
}

// Answer returns the starts of the ages asked for that are kept here.
func (m *Meter) Answer(q messenger.UsageQuestion) messenger.UsageAnswer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropOld()
	now := m.bootClock.Elapsed()
	var hosts table[identifier.Incarnation]
	var accounts table[identifier.AccountName]
	answer := messenger.UsageAnswer{TimeOfDay: time.Duration(m.clock.Now().UnixNano()), Uptime: now - m.startedAt}
	add := func(i identifier.Incarnation, l *startLog) {
		selected := l.selectStarts(func(s start) bool { return now-s.at >= q.MinAge && now-s.at <= q.MaxAge })
		answer.Starts = append(answer.Starts, encode(hosts.add(i), selected, now, &accounts)...)
	}
	add(m.options.Incarnation, &m.own)
	for i, l := range m.kept {
		add(i, l)
	}
	answer.Starts = answer.Starts[:min(len(answer.Starts), messenger.MaxUsageStarts)]
	answer.Hosts, answer.Accounts = hosts.elements, accounts.elements
	return answer
}

// Run copies new starts to other hosts until ctx ends, and then once more, so that the
// starts of a host that is stopped are not lost.
func (m *Meter) Run(ctx context.Context) {
	for {
		m.copyNew(ctx)
		select {
		case <-m.clock.After(copyInterval):
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
			defer cancel()
			m.copyNew(lastCtx)
			return
		}
	}
}

// copyNew copies the starts that no other host keeps yet.
func (m *Meter) copyNew(ctx context.Context) {
	m.mutex.Lock()
	pending := m.own.selectStarts(func(s start) bool { return s.number > m.copied })
	m.mutex.Unlock()
	pending = pending[:min(len(pending), messenger.MaxUsageStarts)]
	if len(pending) == 0 || m.tellKeepers(ctx, pending) == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.copied = pending[len(pending)-1].number
}

// tellKeepers returns how many hosts have taken a copy.
func (m *Meter) tellKeepers(ctx context.Context, pending []start) (taken int) {
	keepers := subsetter.Rank(string(m.options.Incarnation), m.options.Members())
	keepers = slices.DeleteFunc(keepers, func(a string) bool { return a == m.options.Self })
	keepers = keepers[:min(maxKeepersTried, len(keepers))]
	for taken < copyCount && len(keepers) > 0 && ctx.Err() == nil {
		group := keepers[:min(copyCount-taken, len(keepers))]
		keepers = keepers[len(group):]
		replies := make(chan messenger.Reply, len(group))
		var accounts table[identifier.AccountName]
		c := messenger.UsageCopy{Host: m.options.Incarnation, Starts: encode(0, pending, m.bootClock.Elapsed(), &accounts)}
		c.Accounts = accounts.elements
		for _, address := range group {
			go func() {
				var r messenger.Reply
				_ = recoverer.CatchPanic("copy of starts", func() { // already logged
					r, _ = querier.AskBriefly(ctx, m.clock, m.options.Peers, address, messenger.Question{UsageCopy: &c}, copyTimeout)
				})
				replies <- r
			}()
		}
		for range group {
			if (<-replies).Kept {
				taken++
			}
		}
	}
	return taken
}
