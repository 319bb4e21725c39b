// Package logcapturer captures the log of a test.
package logcapturer

import (
	"bytes"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// Log is the log since Start.
type Log struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Start captures the log of the whole process, until the test ends. Such tests can't
// run in parallel.
func Start(t testing.TB) *Log {
	t.Helper()
	state := klog.CaptureState()
	l := &Log{}
	klog.LogToStderr(false)
	klog.SetOutput(l)
	t.Cleanup(func() {
		klog.Flush()
		state.Restore()
	})
	return l
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(p)
}

// Text returns the lines so far.
func (l *Log) Text() string {
	klog.Flush()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}
