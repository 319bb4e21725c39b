// Package spooler writes logs without ever holding up who logs.
package spooler

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

// Spooler is a writer with a bounded buffer. What doesn't fit is dropped, and
// the number of dropped lines is told as soon as there is room.
type Spooler struct {
	recorder *recorder.Recorder
	lines    chan []byte
	// routine says that a line tells of nothing unusual. Such lines leave a part
	// of the buffer to the others.
	routine func(line []byte) bool

	// written is closed when the task has written all lines after Close.
	written chan struct{}

	mutex sync.Mutex
	// dropped counts the lines left out since the last one that was taken.
	dropped int
	closed  bool
}

// CounterDropped counts the lines that were left out.
const CounterDropped = "log-lines-dropped"

// reservedPart is the part of the buffer, one in so many lines, that routine
// lines leave free.
const reservedPart = 4

// New returns a Spooler that keeps up to lines lines for out. Its task ends
// after Close.
func New(out io.Writer, lines int, routine func(line []byte) bool, r *recorder.Recorder) *Spooler {
	s := &Spooler{recorder: r, lines: make(chan []byte, lines), routine: routine, written: make(chan struct{})}
	go func() {
		defer close(s.written)
		for line := range s.lines {
			// A log that can't be written has no other place to say so.
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
	places := 1
	if s.dropped > 0 {
		places = 2 // the line for what was dropped goes first
	}
	if len(s.lines)+places > cap(s.lines)-cap(s.lines)/reservedPart && s.routine(line) {
		s.drop()
		return len(line), nil
	}
	if s.dropped > 0 {
		if !s.offer([]byte(fmt.Sprintf("log lines dropped count=%d\n", s.dropped))) {
			// A place that the task frees from here on isn't for this line: what was
			// dropped before it is told first.
			s.drop()
			return len(line), nil
		}
		s.dropped = 0
	}
	if !s.offer(append([]byte(nil), line...)) {
		s.drop()
	}
	return len(line), nil
}

// Close waits until the lines so far are written, or ctx ends: whoever reads the log
// may have stopped. Later lines are left out.
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
		return errors.Wrap(ctx.Err(), "last lines of the log")
	}
}

func (s *Spooler) drop() {
	s.dropped++
	s.recorder.Count(CounterDropped)
}

func (s *Spooler) offer(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}
