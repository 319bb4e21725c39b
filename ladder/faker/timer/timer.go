// Package timer provides a clock for code under test in synctest bubbles.
//
// A receive from a channel of the time package runs that channel's timer if it is due, on the
// receiving goroutine. In a bubble the Go run-time then uses one state of the race detector for
// all timers of the bubble, also from several threads at once, which ends the process. Timers of
// this clock run only where the bubble advances its time.
package timer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is the clock of the time package, with timers that no receive runs.
type Clock struct{ clockwork.Clock }

var (
	_ clockwork.Clock  = Clock{}
	_ clockwork.Timer  = (*timer)(nil)
	_ clockwork.Ticker = ticker{}
)

// NewClock returns a Clock that has the time of the bubble it is called from, or real time outside
// bubbles.
func NewClock() Clock { return Clock{Clock: clockwork.NewRealClock()} }

// After returns a channel that gets the time after d.
func (c Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// NewTimer returns a timer that sends the time on its channel after d.
func (Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// AfterFunc returns a timer that calls f in its own goroutine after d. Its channel is nil.
func (Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{f: f}
	t.Reset(d)
	return t
}

// NewTicker returns a ticker that sends the time on its channel every d and drops ticks that find
// the one before not received. It panics if d isn't positive.
func (Clock) NewTicker(d time.Duration) clockwork.Ticker {
	t := ticker{&timer{c: make(chan time.Time, 1)}}
	t.Reset(d)
	return t
}

// timer sends on c or calls f when it expires.
type timer struct {
	c chan time.Time
	f func()

	mutex sync.Mutex
	// pending is the timer of the time package that is to expire next, or nil.
	pending *time.Timer
	// starts counts what was set to expire; only the last start may.
	starts int
	// period is above 0 for tickers.
	period time.Duration
}

// Chan returns the channel that gets the time.
func (t *timer) Chan() <-chan time.Time { return t.c }

// Stop reports whether it stopped the timer. Nothing is received from the channel afterwards.
func (t *timer) Stop() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stop()
}

// Reset has the timer expire after d and reports whether it was to expire before.
func (t *timer) Reset(d time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stopped := t.stop()
	if d > 0 {
		t.start(d)
		return stopped
	}
	// The run-time runs a timer of the time package that is due at once on this goroutine.
	if t.c != nil {
		t.c <- time.Now()
	} else {
		go t.f()
	}
	return stopped
}

// stop discards what is pending, and a time that wasn't received. The caller holds the mutex.
func (t *timer) stop() bool {
	stopped := t.pending != nil
	if stopped {
		t.pending.Stop()
		t.pending = nil
	}
	select {
	case <-t.c:
		stopped = true
	default:
	}
	return stopped
}

// start has the timer expire after d, which is above 0. The caller holds the mutex.
func (t *timer) start(d time.Duration) {
	t.starts++
	start := t.starts
	t.pending = time.AfterFunc(d, func() { t.expire(start) })
}

// expire sends on the channel or calls the function, unless the timer was stopped or started anew.
func (t *timer) expire(start int) {
	t.mutex.Lock()
	if t.pending == nil || t.starts != start {
		t.mutex.Unlock()
		return
	}
	t.pending = nil
	if t.period > 0 {
		t.start(t.period)
	}
	if t.c != nil {
		select {
		case t.c <- time.Now():
		default:
		}
	}
	t.mutex.Unlock()
	if t.f != nil {
		t.f()
	}
}

// ticker is a timer that starts again whenever it expires.
type ticker struct{ *timer }

// Reset has the ticker tick every d from now on. It panics if d isn't positive.
func (t ticker) Reset(d time.Duration) {
	if d <= 0 {
		panic("period of a ticker isn't positive")
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stop()
	t.period = d
	t.start(d)
}

// Stop ends the ticks.
func (t ticker) Stop() { t.timer.Stop() }
