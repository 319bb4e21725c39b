// Package spooler writes logs asynchronously, so that logging never blocks the caller.
package spooler

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

// Spooler is a writer with a bounded buffer. Lines that don't fit are dropped, and
// their number is written to the log as soon as there is room.
type Spooler struct {
	recorder *recorder.Recorder
	lines    chan []byte
	// routine reports whether a line is routine. Routine lines leave part of the buffer
	// to other lines.
	routine func(line []byte) bool

	// written is closed when all lines have been written after Close.
	written chan struct{}

	mutex sync.Mutex
	// dropped counts the lines dropped since the last accepted line.
	dropped int
	closed  bool
}

// CounterDropped counts dropped lines.
const CounterDropped = "log-lines-dropped"

// reservedDivisor gives the part of the buffer, one line in reservedDivisor, that
// routine lines leave free.
const reservedDivisor = 4

// New returns a Spooler that buffers up to the given number of lines for out. Its
// goroutine ends after Close.
func New(out io.Writer, lines int, routine func(line []byte) bool, r *recorder.Recorder) *Spooler {
	s := &Spooler{recorder: r, lines: make(chan []byte, lines), routine: routine, written: make(chan struct{})}
	go func() {
		defer close(s.written)
		for line := range s.lines {
			// If the log can't be written, there is nowhere to report it.
			_, _ = out.Write(line)
		}
	}()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return len(line), nil
	}
	slots := 1
	if s.dropped > 0 {
		slots = 2 // the line with the dropped count comes first
	}
	if len(s.lines)+slots > cap(s.lines)-cap(s.lines)/reservedDivisor && s.routine(line) {
		s.drop()
		return len(line), nil
	}
	if s.dropped > 0 {
		if !s.tryEnqueue([]byte(fmt.Sprintf("log lines dropped count=%d\n", s.dropped))) {
			// A slot that is freed from here on must not go to this line: the dropped
			// count has to be written before it.
			s.drop()
			return len(line), nil
		}
		s.dropped = 0
	}
	if !s.tryEnqueue(append([]byte(nil), line...)) {
		s.drop()
	}
	return len(line), nil
}

// Close waits until the buffered lines are written or ctx ends, since the log's reader
// may have stopped. Lines written after Close are discarded.
func (s *Spooler) Close(ctx context.Context) error {
	s.mutex.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mutex.Unlock()
	select {
	case <-s.written:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write the last lines of the log")
	}
}

func (s *Spooler) drop() {
	s.dropped++
	s.recorder.Count(CounterDropped)
}

func (s *Spooler) tryEnqueue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}
