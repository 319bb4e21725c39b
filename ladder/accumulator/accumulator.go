// Package accumulator gathers a streamed answer by offset and lets readers
// follow it from any offset, so that a stream can be resumed.
package accumulator

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Accumulator holds the bytes of one answer so far.
type Accumulator struct {
	mutex sync.Mutex
	// data never has a gap and never shrinks before Drop.
	data []byte
	// ended is final.
	ended bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty Accumulator.
func New() *Accumulator {
	return &Accumulator{changed: make(chan struct{})}
}

// WriteAt adds data that belongs at offset. Bytes already held are passed
// over. It returns false, and takes nothing, where it would leave a gap.
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

// End says that nothing more will come.
func (a *Accumulator) End() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ended {
		a.ended = true
		a.notify()
	}
}

// Length returns how many bytes are held.
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

// Bytes returns what is held; the caller must not change it.
func (a *Accumulator) Bytes() []byte {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.data
}

// ReadFromOffset waits for bytes beyond from and returns them. It returns no bytes and
// ended when there will be none, or ctx's error.
func (a *Accumulator) ReadFromOffset(ctx context.Context, from uint64) (data []byte, ended bool, err error) {
	return a.ReadAtLeast(ctx, from, 1)
}

// ReadAtLeast is Next, but waits for so many bytes while more may come.
func (a *Accumulator) ReadAtLeast(ctx context.Context, from, least uint64) (data []byte, ended bool, err error) {
	for {
		a.mutex.Lock()
		held, over, changed := a.data, a.ended, a.changed
		a.mutex.Unlock()
		if length := uint64(len(held)); from < length && (over || length-from >= least) {
			return held[from:], false, nil
		}
		if over {
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
