// Package accumulator collects a streamed answer by offset. Readers can follow it
// from any offset, so that an interrupted stream can be resumed.
package accumulator

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Accumulator holds the bytes of one answer received so far.
type Accumulator struct {
	mutex sync.Mutex
	// data has no gaps and never shrinks.
	data []byte
	// ended is never reset.
	ended bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty Accumulator.
func New() *Accumulator {
	return &Accumulator{changed: make(chan struct{})}
}

// WriteAt adds data at offset. Bytes already held are skipped. If the data would
// leave a gap, WriteAt adds nothing and returns false.
func (a *Accumulator) WriteAt(offset uint64, data []byte) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	held := uint64(len(a.data))
	if offset > held || a.ended {
		return offset <= held
	}
	if known := held - offset; known < uint64(len(data)) {
		a.data = append(a.data, data[known:]...)
		a.notify()
	}
	return true
}

// Append adds data at the end.
func (a *Accumulator) Append(data []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended || len(data) == 0 {
		return
	}
	a.data = append(a.data, data...)
	a.notify()
}

// End marks the answer as ended; later data is ignored.
func (a *Accumulator) End() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ended {
		a.ended = true
		a.notify()
	}
}

// Length returns the number of bytes held.
func (a *Accumulator) Length() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return uint64(len(a.data))
}

// Checksum returns the xxhash64 of the bytes held.
func (a *Accumulator) Checksum() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return xxhash.Sum64(a.data)
}

// Bytes returns the bytes held; the caller must not change them.
func (a *Accumulator) Bytes() []byte {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.data
}

// ReadFromOffset waits for bytes beyond offset and returns them. After End it
// returns no bytes and ended if there are none, and ctx's error if ctx ends.
func (a *Accumulator) ReadFromOffset(ctx context.Context, offset uint64) (data []byte, ended bool, err error) {
	return a.ReadAtLeast(ctx, offset, 1)
}

// ReadAtLeast is like ReadFromOffset, but before End it waits for at least minBytes.
func (a *Accumulator) ReadAtLeast(ctx context.Context, offset, minBytes uint64) (data []byte, ended bool, err error) {
	for {
		a.mutex.Lock()
		held, complete, changed := a.data, a.ended, a.changed
		a.mutex.Unlock()
		if length := uint64(len(held)); offset < length && (complete || length-offset >= minBytes) {
			return held[offset:], false, nil
		}
		if complete {
			return nil, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (a *Accumulator) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}
