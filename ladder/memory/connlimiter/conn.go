package connlimiter

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/reporter"
)

// phase is what a connection does.
type phase int32

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHead receives a head, or lines before it.
	phaseHead
	// phaseServing has received the head and is not reading the body.
	phaseServing
	// phaseBody reads a body.
	phaseBody
)

// ErrNoProgress means that a body made no progress, or gave way to others.
var ErrNoProgress = errors.New("no progress of the request body")

// errRefused is returned by Read after a response was written in place of the server.
var errRefused = errors.New("request refused before its end")

// refusal is what a connection is sent whose head finds no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Conn is a bounded connection. The server tells it the phases of each request with
// HeadDone, BeginBody, EndBody and RequestDone.
type Conn struct {
	net.Conn
	limiter *Limiter
	// base is the reservation for the connection itself.
	base  *budgeter.Reservation
	phase atomic.Int32
	// since is the tick at which the phase began. lastByte is the tick of the last
	// read byte, progressed that of the last progressBytes.
	since, lastByte, progressed atomic.Int64
	// writingSince is the tick at which the write in progress began, plus 1, or 0.
	writingSince atomic.Int64
	// unprogressed counts the bytes of the body since progressed.
	unprogressed atomic.Int64
	// headBytes and headLines count what the present head brought. Only the
	// goroutine that reads uses them.
	headBytes, headLines int64
	// ended is set when the body read was ended for lack of progress.
	ended atomic.Bool

	// mutex guards the fields below.
	mutex sync.Mutex
	// kept is released after the response, or nil.
	kept *budgeter.Reservation
	// lingers is set if the caller may still send when the connection is closed.
	lingers bool
	// head is what the present head holds beyond base, or nil.
	head   *budgeter.Reservation
	closed bool
}

func (c *Conn) setPhase(p phase) {
	now := c.limiter.tick.Load()
	c.since.Store(now)
	c.lastByte.Store(now)
	c.progressed.Store(now)
	c.unprogressed.Store(0)
	c.phase.Store(int32(p))
}

// Read implements net.Conn. What a head holds is reserved before it is passed on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		if err != nil && c.ended.Load() {
			return 0, ErrNoProgress
		}
		return n, err
	}
	switch phase(c.phase.Load()) {
	case phaseIdle:
		c.setPhase(phaseHead)
		fallthrough
	case phaseHead:
		if !c.countHead(p[:n]) {
			c.refuse()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
		}
	case phaseBody:
		c.lastByte.Store(c.limiter.tick.Load())
	case phaseServing:
	}
	return n, err
}

// countHead counts a part of a head and reserves what exceeds the connection's own
// reservation. It returns false if there is no room.
func (c *Conn) countHead(part []byte) bool {
	before := max(0, c.headCost()-includedHeadBytes)
	c.headBytes += int64(len(part))
	c.headLines += int64(bytes.Count(part, []byte{'\n'}))
	more := max(0, c.headCost()-includedHeadBytes) - before
	if more <= 0 {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	if c.head == nil {
		var err error
		c.head, err = c.limiter.options.Budgeter.TryReserve(more, budgeter.ClassHead, c)
		return err == nil
	}
	return c.head.TryGrow(more)
}

// headCost is the memory of the present head. Its text is held twice while it is parsed.
func (c *Conn) headCost() int64 { return 2*c.headBytes + headLineBytes*c.headLines }

// HeadBytes returns an upper bound of the size of the present head.
func (c *Conn) HeadBytes() int64 { return c.headBytes }

// refuse writes a response in place of the server, which has seen no whole request.
func (c *Conn) refuse() {
	c.limiter.options.Reporter.Report(reporter.LimitMemory)
	_, _ = io.WriteString(c, refusal) // the caller may have left
}

// Write implements net.Conn. It writes in pieces, so that a caller that reads slowly but
// steadily is not taken for one that reads nothing.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.writingSince.Store(0)
	for {
		c.writingSince.Store(c.limiter.tick.Load() + 1)
		n, err := c.Conn.Write(p[written : written+min(len(p)-written, writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side, if the connection can do that.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mutex.Lock()
	lingers := c.lingers && !c.closed
	c.closed = true
	c.head.Release()
	c.kept.Release()
	c.mutex.Unlock()
	if lingers {
		c.linger()
	}
	c.base.Release()
	c.limiter.remove(c)
	return c.Conn.Close()
}

// Keep makes the connection release a reservation once the response has been written.
func (c *Conn) Keep(r *budgeter.Reservation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.kept.Release()
	c.kept = r
	if c.closed {
		r.Release()
	}
}

// Linger makes Close wait for a moment for a caller that is still sending, since it would
// not get its response otherwise.
func (c *Conn) Linger() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingers = true
}

// linger reads what the caller sends, for at most lingerTime and lingerBytes.
func (c *Conn) linger() {
	if c.CloseWrite() != nil || c.SetReadDeadline(c.limiter.clock.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the caller has left, or goes on sending
}

// HeadDone begins the phase in which a request is served.
func (c *Conn) HeadDone() { c.setPhase(phaseServing) }

// BeginBody begins the phase in which a body is read.
func (c *Conn) BeginBody() { c.setPhase(phaseBody) }

// Progress records that n bytes of a body have been read, without the overhead of its
// chunks.
func (c *Conn) Progress(n int) {
	if c.unprogressed.Add(int64(n)) >= progressBytes {
		c.unprogressed.Store(0)
		c.progressed.Store(c.limiter.tick.Load())
	}
}

// EndBody ends that phase. It returns false if the body was ended for lack of progress:
// the connection can't be used for another request then.
func (c *Conn) EndBody() bool {
	c.setPhase(phaseServing)
	return !c.ended.Load()
}

// PauseBody suspends the time limits of the body while this host is not ready to read,
// until the returned function is called.
func (c *Conn) PauseBody() (resume func()) {
	if !c.phase.CompareAndSwap(int32(phaseBody), int32(phaseServing)) {
		return func() {}
	}
	paused := c.limiter.tick.Load()
	return func() {
		now := c.limiter.tick.Load()
		c.lastByte.Store(now)
		c.progressed.Add(now - paused)
		c.phase.Store(int32(phaseBody))
	}
}

// RequestDone begins the wait for the next request.
func (c *Conn) RequestDone() {
	c.mutex.Lock()
	if c.head != nil {
		c.head.Release()
		c.head = nil
	}
	c.kept.Release()
	c.kept = nil
	c.mutex.Unlock()
	c.headBytes, c.headLines = 0, 0
	c.setPhase(phaseIdle)
}

func (c *Conn) elapsed(tick int64) time.Duration {
	return time.Duration(c.limiter.tick.Load()-tick) * tickInterval
}

// stalledFor returns how long the connection has made no progress, or 0 while a request
// is served that waits for nothing of its caller.
func (c *Conn) stalledFor() time.Duration {
	if w := c.writingSince.Load(); w > 0 {
		return c.elapsed(w - 1)
	}
	switch phase(c.phase.Load()) {
	case phaseIdle, phaseHead:
		return c.elapsed(c.since.Load())
	case phaseBody:
		return c.elapsed(c.progressed.Load())
	case phaseServing:
	}
	return 0
}

// Stalled implements budgeter.Holder.
func (c *Conn) Stalled() time.Duration { return c.stalledFor() }

// GiveWay implements budgeter.Holder.
func (c *Conn) GiveWay() {
	switch phase(c.phase.Load()) {
	case phaseBody:
		c.endBody()
	case phaseServing:
		if c.writingSince.Load() == 0 {
			return // the body has ended meanwhile, and its request may have begun to run
		}
		fallthrough
	case phaseIdle, phaseHead:
		_ = c.Conn.Close() // Close releases the reservations when the server notices
	}
}

// endBody makes the reader of the body return ErrNoProgress.
func (c *Conn) endBody() {
	c.ended.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // it fails only on closed connections
}

// enforce ends what exceeds a time limit.
func (c *Conn) enforce(l Limits) {
	report := c.limiter.options.Reporter.Report
	if w := c.writingSince.Load(); w > 0 && c.elapsed(w-1) > WriteStallTimeout {
		report(reporter.LimitUnreadResponse)
		_ = c.Conn.Close()
		return
	}
	switch phase(c.phase.Load()) {
	case phaseIdle:
		if c.elapsed(c.since.Load()) > l.IdleTimeout {
			_ = c.Conn.Close()
		}
	case phaseHead:
		if c.elapsed(c.since.Load()) > l.HeadTimeout {
			report(reporter.LimitHeadTime)
			_ = c.Conn.Close()
		}
	case phaseBody:
		if !c.ended.Load() && (c.elapsed(c.lastByte.Load()) > BodyStallTimeout || c.elapsed(c.progressed.Load()) > bodySlowTimeout) {
			c.endBody()
		}
	case phaseServing:
	}
}
