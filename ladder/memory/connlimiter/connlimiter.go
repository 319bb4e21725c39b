// Package connlimiter bounds the connections of a listener, the memory of the heads that
// they bring, and how long they may make no progress.
package connlimiter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/reporter"
)

const (
	// tickInterval is the resolution of all times of a connection. Ticks are counted
	// rather than read from a clock, so that the time during which the host is
	// suspended counts against no caller, and a read costs no clock.
	tickInterval = 250 * time.Millisecond
	// connectionBytes is what a connection costs by itself: the buffers of the HTTP
	// library (4 KiB each way), its goroutines' stacks and an ordinary head.
	connectionBytes = 24 << 10
	// includedHeadBytes is the part of connectionBytes for a head.
	includedHeadBytes = 8 << 10
	// headLineBytes is the cost of a head line beyond its text. The shortest parsed
	// lines were measured to hold 99 bytes each, and a request that is forwarded has
	// two more copies of its head.
	headLineBytes = 320
	// BodyStallTimeout is how long a body may bring no byte.
	BodyStallTimeout = 10 * time.Second
	// bodySlowTimeout is how long a body may bring less than progressBytes.
	bodySlowTimeout = 30 * time.Second
	// progressBytes is the least that counts as progress of a body.
	progressBytes = 1 << 10
	// WriteStallTimeout is how long a caller may read less than writePieceBytes of a
	// response.
	WriteStallTimeout = 10 * time.Second
	// writePieceBytes is the size of a write, after which the time begins anew.
	writePieceBytes = 32 << 10
	// sendBufferBytes is the kernel's send buffer of a connection. The kernel's own bound is some
	// MB, of which a third must be free before a write goes on: a caller that read 50 KB a second
	// had read nothing for 30 s by that measure. It also bounds the kernel's memory.
	sendBufferBytes = 2 * writePieceBytes
	// defaultHeadTimeout and defaultIdleTimeout apply if the configuration sets none.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	// timeoutMargin is added to the timeouts of the configuration, so that they only
	// hit callers that exceed them, however late this host reads.
	timeoutMargin = time.Second
	// lingerTime and lingerBytes bound what is read of a caller whose connection is
	// closed while it sends.
	lingerTime, lingerBytes = 500 * time.Millisecond, 1 << 20
	// evictAfter is how long a connection must have made no progress before it is
	// closed in favor of a new one.
	evictAfter = time.Second
)

// Limits are the limits of the configuration in force. A value of 0 is unset.
type Limits struct {
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time without a request.
	IdleTimeout time.Duration
}

// Options are the settings of a Limiter.
type Options struct {
	// MaxConnections is the largest number of connections; 0 means no bound.
	MaxConnections int
	Budgeter       *budgeter.Budgeter
	Reporter       *reporter.Reporter
	// Limits returns the limits in force; nil means none.
	Limits func() Limits
}

// Limiter bounds the connections of one or more listeners.
type Limiter struct {
	clock   clockwork.Clock
	options Options
	// tick is the number of tickIntervals since Run was called.
	tick atomic.Int64

	mutex       sync.Mutex
	connections map[*Conn]struct{}
}

// New returns a Limiter. Run must be running for its time limits to act.
func New(clock clockwork.Clock, o Options) *Limiter {
	return &Limiter{clock: clock, options: o, connections: make(map[*Conn]struct{})}
}

// Listen returns a listener whose connections are bounded. They are of type *Conn.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &boundedListener{Listener: inner, limiter: l}
}

type boundedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection for which there is room. Others are closed.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.limiter.add(inner); ok {
			return c, nil
		}
		_ = inner.Close() // it is refused
	}
}

// add returns a connection, or false if there is no room for it.
func (l *Limiter) add(inner net.Conn) (*Conn, bool) {
	base, err := l.options.Budgeter.TryReserve(connectionBytes, budgeter.ClassHead, nil)
	if err != nil {
		l.evict()
		l.options.Reporter.Report(reporter.LimitMemory)
		return nil, false
	}
	boundSendBuffer(inner)
	c := &Conn{Conn: inner, limiter: l, base: base}
	c.setPhase(phaseIdle)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if m := l.options.MaxConnections; m > 0 && len(l.connections) >= m {
		l.options.Reporter.Report(reporter.LimitConnections)
		if !l.evictLocked() {
			base.Release()
			return nil, false
		}
	}
	l.connections[c] = struct{}{}
	return c, true
}

// boundSendBuffer sets the kernel's send buffer, if the connection has one.
func boundSendBuffer(c net.Conn) {
	if b, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = b.SetWriteBuffer(sendBufferBytes) // it fails only on closed connections
	}
}

func (l *Limiter) evict() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.evictLocked()
}

// evictLocked closes the connection without progress for the longest time and reports
// whether there was one. The caller must hold the mutex.
func (l *Limiter) evictLocked() bool {
	var longest *Conn
	stalled := evictAfter - 1
	for c := range l.connections {
		if d := c.stalledFor(); d > stalled {
			longest, stalled = c, d
		}
	}
	if longest == nil {
		return false
	}
	// It no longer counts, although its goroutine may need a moment to close it.
	delete(l.connections, longest)
	_ = longest.Conn.Close()
	return true
}

func (l *Limiter) remove(c *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, c)
}

// Connections returns the number of open connections.
func (l *Limiter) Connections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.connections)
}

// Run enforces the time limits until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := l.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		l.tick.Add(1)
		l.sweep()
	}
}

// sweep ends what exceeds a time limit.
func (l *Limiter) sweep() {
	limits := l.limits()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.connections {
		c.enforce(limits)
	}
}

func (l *Limiter) limits() Limits {
	limits := Limits{}
	if l.options.Limits != nil {
		limits = l.options.Limits()
	}
	orDefault := func(d, unset time.Duration) time.Duration {
		if d <= 0 {
			return unset
		}
		return d + timeoutMargin
	}
	return Limits{
		HeadTimeout: orDefault(limits.HeadTimeout, defaultHeadTimeout),
		IdleTimeout: orDefault(limits.IdleTimeout, defaultIdleTimeout),
	}
}
