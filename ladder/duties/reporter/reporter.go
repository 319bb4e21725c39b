// Package reporter counts the requests that targets began to run for each account, and
// reports the counts of each window of true time to the platform, once.
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/duties/pacer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/leaser"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// The holder of the lease asks all members what they know of a window, and appends the
// report to the store before it sends it. Whoever takes the lease over finds the
// report there and sends the same bytes, so that there are never two different reports of one
// window. Between the token's check and the append another host may take over; the condition
// of the append then fails, since a host builds reports only from a complete copy of the
// partition.

const (
	// collectDelay is the time from a window's end to the collection of its starts: copies
	// are sent every 0.5 s, and most requests last some ten milliseconds.
	collectDelay = 1500 * time.Millisecond
	// pollInterval is the interval at which the lease is looked at.
	pollInterval = 200 * time.Millisecond
	// retentionMargin is the time for which the starts of a window must still be kept when it is
	// collected.
	retentionMargin = 5 * time.Second
	// listTime is the age of a process from which its list of members is complete. Processes
	// that start together know each other after about 2.4 s.
	listTime = 4 * time.Second
	// maxReportAge is how long a report is sent again, from the moment at which this host has
	// it. It is below retention, so that the report is still in the store.
	maxReportAge = 9 * time.Minute
	// takeoverAge is how long after it was due a stored report is sent by a host that takes over.
	// The host can't know which ones have arrived, and repeats delay the reports that have not.
	takeoverAge = 30 * time.Second
)

// Platform is where usage is reported.
type Platform interface {
	// EncodeUsage returns the bytes of a report, the same ones for the same counts.
	EncodeUsage(w Window, c Counts) ([]byte, error)
	// SendUsage sends a report. It calls authorize directly before that. A nil error means
	// that the report has arrived; the other errors are those of package pacer.
	SendUsage(ctx context.Context, body []byte, authorize pacer.Authorize) error
}

// Lease returns the fencing token while this process holds the lease.
type Lease interface {
	Token() (identifier.FencingToken, bool)
}

// Usage knows starts of requests; *meter.Meter implements it.
type Usage interface {
	Answer(q messenger.UsageQuestion) messenger.UsageAnswer
}

// Counter counts events; *recorder.Recorder implements it.
type Counter interface{ Count(name string) }

// Options are the settings of a Reporter.
type Options struct {
	Partition storer.Partition
	// Holder is this host.
	Holder leaser.Holder
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that are asked.
	Members func() []string
	Peers   querier.Peers
	// WindowLength is the length of a window. A report is due Lateness after its end.
	WindowLength, Lateness time.Duration
	// Retention is how long members keep starts; it exceeds WindowLength + Lateness.
	Retention time.Duration
	Counter   Counter
}

// Reporter reports usage while this process holds the lease.
type Reporter struct {
	clock     clockwork.Clock
	bootClock leaser.BootTimeClock
	log       storer.Log
	usage     Usage
	lease     Lease
	platform  Platform
	pacer     *pacer.Pacer
	options   Options
	startedAt time.Duration

	mutex sync.Mutex
	// acknowledged has the windows whose reports have arrived, as far as this process
	// knows.
	acknowledged map[Window]bool
	last         Outcome
}

// Outcome is what became of the report that was sent last.
type Outcome struct {
	Window Window                  `json:"window"`
	Digest string                  `json:"digest"`
	Token  identifier.FencingToken `json:"token"`
	// At is when, by this host's clock.
	At time.Time `json:"at"`
	// Error is empty if the report has arrived.
	Error string `json:"error,omitempty"`
}

// New returns a Reporter that does nothing until Run is called.
func New(clock clockwork.Clock, bootClock leaser.BootTimeClock, log storer.Log, u Usage, l Lease, p Platform, pace *pacer.Pacer, o Options) *Reporter {
	return &Reporter{
		clock: clock, bootClock: bootClock, log: log, usage: u, lease: l, platform: p, pacer: pace, options: o, startedAt: bootClock.Elapsed(),
		acknowledged: make(map[Window]bool),
	}
}

// Run reports usage until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		if token, ok := r.lease.Token(); ok {
			newTerm(r, token).run(ctx)
		}
		if !r.sleep(ctx, pollInterval) {
			return
		}
	}
}

// Last returns what became of the report that was sent last, and false if none was.
func (r *Reporter) Last() (Outcome, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.last, r.last.Window != 0
}

// maxWindowAge bounds the age of the windows that are still collected.
func (r *Reporter) maxWindowAge() time.Duration { return r.options.Retention - retentionMargin }

// sleep waits and returns false if ctx has ended.
func (r *Reporter) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-r.clock.After(d):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
