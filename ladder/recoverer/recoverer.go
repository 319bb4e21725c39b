// Package recoverer keeps a panic in one task from ending the whole process.
package recoverer

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

// The task that panics ends with an error for its caller to handle, and the rest of
// the process continues. The caller must discard any state that the task may have
// left inconsistent.

// restartDelay is the delay before restarting a task after a panic.
const restartDelay = 500 * time.Millisecond

// PanicError is a recovered panic.
type PanicError struct {
	// Task names the task that panicked.
	Task string
	// Value is the argument of the panic.
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// CatchPanic runs f and returns a panic as a *PanicError, after logging it with its
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

// RestartOnPanic runs f until it returns, restarting it after a panic until ctx ends.
func RestartOnPanic(ctx context.Context, clock clockwork.Clock, task string, f func(ctx context.Context)) {
	for CatchPanic(task, func() { f(ctx) }) != nil {
		select {
		case <-clock.After(restartDelay):
		case <-ctx.Done():
			return
		}
	}
}
