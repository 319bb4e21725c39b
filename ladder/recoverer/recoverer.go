// Package recoverer keeps an unexpected error in one task from ending the whole
// process.
package recoverer

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

// A panic says that the code met something that nobody thought of. The task that
// met it ends with an error that its caller can report; everything else goes on.
// Whatever state the task may have left half changed is the caller's to drop.

// restartPause is between the end of a task by a panic and its next start.
const restartPause = 500 * time.Millisecond

// PanicError is a panic as an error.
type PanicError struct {
	// Task names what was under way.
	Task string
	// Value is what the panic was called with.
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// CatchPanic runs f and returns a panic of it as a *PanicError, which it logs with the
// stack.
func CatchPanic(task string, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			p := &PanicError{Task: task, Value: value}
			klog.ErrorS(p, "unexpected error in a task", "task", task, "stack", string(debug.Stack()))
			err = p
		}
	}()
	f()
	return nil
}

// RestartOnPanic runs f until ctx ends, and again after a panic.
func RestartOnPanic(ctx context.Context, clock clockwork.Clock, task string, f func(ctx context.Context)) {
	for CatchPanic(task, func() { f(ctx) }) != nil {
		select {
		case <-clock.After(restartPause):
		case <-ctx.Done():
			return
		}
	}
}
