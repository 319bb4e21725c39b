package proposer_test

import (
	"context"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// memoryLog is an in-memory log with a single stream.
type memoryLog struct {
	mutex   sync.Mutex
	records []appender.Record
	changed chan struct{}
	// fail, if set, is called before each append. It returns the error of the
	// append and whether the records are appended nevertheless.
	fail func() (err error, appended bool)
}

func newMemoryLog() *memoryLog { return &memoryLog{changed: make(chan struct{})} }

func (l *memoryLog) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	err, appended := error(nil), true
	if l.fail != nil {
		err, appended = l.fail()
	}
	first := identifier.LogOffset(len(l.records))
	if appended {
		for _, data := range records {
			l.records = append(l.records, appender.Record{Offset: identifier.LogOffset(len(l.records)), Time: time.Now(), Data: data})
		}
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return first, err
}

func (l *memoryLog) Read(ctx context.Context, _ identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	poll := time.After(time.Second)
	for {
		l.mutex.Lock()
		page := appender.Page{Next: identifier.LogOffset(len(l.records))}
		if int(from) < len(l.records) {
			page.Records = l.records[from:min(int(from)+limit, len(l.records))]
		}
		changed := l.changed
		l.mutex.Unlock()
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-poll:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}
