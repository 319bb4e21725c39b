package meter

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// start is the moment, by this host's clock, at which a target began to run a request.
type start struct {
	account identifier.AccountName
	number  identifier.StartNumber
	at      time.Duration
}

// startLog has starts in the order in which they became known, which is almost that of
// their moments.
type startLog struct{ starts []start }

func (l *startLog) add(s start) {
	l.starts = append(l.starts, s)
	if len(l.starts) > maxStarts {
		l.starts = l.starts[1:]
	}
}

// dropBefore drops the oldest starts.
func (l *startLog) dropBefore(at time.Duration) {
	n := 0
	for n < len(l.starts) && l.starts[n].at < at {
		n++
	}
	l.starts = l.starts[n:]
}

func (l *startLog) selectStarts(wanted func(s start) bool) (list []start) {
	for _, s := range l.starts {
		if wanted(s) {
			list = append(list, s)
		}
	}
	return list
}

// encode returns starts with their ages at the moment now.
func encode(i identifier.Incarnation, starts []start, now time.Duration) messenger.UsageLog {
	log := messenger.UsageLog{Incarnation: i, Starts: make([]messenger.UsageStart, 0, len(starts))}
	index := make(map[identifier.AccountName]int)
	for _, s := range starts {
		n, ok := index[s.account]
		if !ok {
			n = len(log.Accounts)
			index[s.account] = n
			log.Accounts = append(log.Accounts, s.account)
		}
		log.Starts = append(log.Starts, messenger.UsageStart{Account: n, Sequence: s.number, Age: now - s.at})
	}
	return log
}
