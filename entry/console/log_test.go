package console_test

import (
	"context"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// pollTime is how long a read waits for a record.
const pollTime = 20 * time.Millisecond

// memoryLog is the platform's log in memory, for one stream.
type memoryLog struct {
	mutex   sync.Mutex
	records []appender.Record
	changed chan struct{}
	// down refuses appends; lose takes them and loses the answer.
	down, lose bool
}

func (l *memoryLog) fail(down, lose bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down, l.lose = down, lose
}

func (l *memoryLog) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, appender.ErrUnavailable
	}
	first := identifier.LogOffset(len(l.records))
	for _, data := range records {
		l.records = append(l.records, appender.Record{Offset: identifier.LogOffset(len(l.records)), Time: time.Now(), Data: data})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if l.lose {
		return 0, appender.ErrOutcomeUnknown
	}
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	poll := time.After(pollTime)
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
		case <-poll:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}
