// Package faker provides in-memory fakes of everything outside the system, for
// tests in virtual time: log, store, group, engine, service, host list and network.
// The fake targets record what they executed, for tests to compare with what the
// system reported.
package faker

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// LogOptions configure a Log.
type LogOptions struct {
	// Retention is how long records are kept; 0 keeps them forever.
	Retention time.Duration
	// Poll is how long a read waits for the first record.
	Poll time.Duration
}

// Log is an append-only log with retention and outages.
type Log struct {
	clock   clockwork.Clock
	options LogOptions

	mutex   sync.Mutex
	streams map[identifier.StreamName]*stream
	down    bool
	changed chan struct{}
}

// stream has the retained records, which begin at offset first.
type stream struct {
	first   identifier.LogOffset
	records []appender.Record
}

// NewLog returns an empty Log.
func NewLog(clock clockwork.Clock, options LogOptions) *Log {
	return &Log{
		clock: clock, options: options,
		streams: make(map[identifier.StreamName]*stream), changed: make(chan struct{}),
	}
}

// SetDown starts or ends an outage. Records also expire during an outage.
func (l *Log) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
	l.notify()
}

// Forgot returns whether records were written and all of them have expired.
func (l *Log) Forgot() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	written := false
	for name := range l.streams {
		s := l.trimmedStream(name)
		if len(s.records) > 0 {
			return false
		}
		written = written || s.first > 0
	}
	return written
}

// Append implements appender.Log.
func (l *Log) Append(ctx context.Context, name identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, appender.ErrUnavailable
	}
	s := l.trimmedStream(name)
	first := s.next()
	for _, data := range records {
		s.records = append(s.records, appender.Record{Offset: s.next(), Time: l.clock.Now(), Data: data})
	}
	l.notify()
	return first, nil
}

// Read implements appender.Log.
func (l *Log) Read(ctx context.Context, name identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	poll := l.clock.After(l.options.Poll)
	for {
		l.mutex.Lock()
		page, down, changed := l.page(name, from, limit), l.down, l.changed
		l.mutex.Unlock()
		if down {
			return appender.Page{}, appender.ErrUnavailable
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-poll:
			return page, nil
		case <-ctx.Done():
			return appender.Page{}, ctx.Err()
		}
	}
}

func (l *Log) page(name identifier.StreamName, from identifier.LogOffset, limit int) appender.Page {
	s := l.trimmedStream(name)
	p := appender.Page{FirstRetained: s.first, Next: s.next()}
	skip := int(max(from, s.first) - s.first)
	if skip < len(s.records) {
		kept := s.records[skip:]
		p.Records = append(p.Records, kept[:min(limit, len(kept))]...)
	}
	return p
}

// trimmedStream returns the stream without its expired records. The caller holds
// the mutex.
func (l *Log) trimmedStream(name identifier.StreamName) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	for l.options.Retention > 0 && len(s.records) > 0 && l.clock.Since(s.records[0].Time) > l.options.Retention {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

func (s *stream) next() identifier.LogOffset { return s.first + identifier.LogOffset(len(s.records)) }

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
