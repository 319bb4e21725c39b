package console_test

import (
	"context"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// pollTimeout is how long a read waits for a record.
const pollTimeout = 20 * time.Millisecond

// memoryLog is the platform's log in memory, for one stream.
type memoryLog struct {
	mutex   sync.Mutex
	records []appender.Record
	changed chan struct{}
	// unavailable makes Append fail. loseResponse makes it store the records and
	// return ErrOutcomeUnknown.
	unavailable, loseResponse bool
}

func (l *memoryLog) setFailures(unavailable, loseResponse bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable, l.loseResponse = unavailable, loseResponse
}

func (l *memoryLog) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return 0, appender.ErrUnavailable
	}
	first := identifier.LogOffset(len(l.records))
	for _, data := range records {
		l.records = append(l.records, appender.Record{Offset: identifier.LogOffset(len(l.records)), Time: time.Now(), Data: data})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseResponse {
		return 0, appender.ErrOutcomeUnknown
	}
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	timeout := time.After(pollTimeout)
	for {
		l.mutex.Lock()
		page := appender.Page{Next: identifier.LogOffset(len(l.records)), Records: l.records[min(int(from), len(l.records)):]}
		changed := l.changed
		l.mutex.Unlock()
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}
