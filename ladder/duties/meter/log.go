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

// table numbers the elements of a message that its starts refer to.
type table[T comparable] struct {
	elements []T
	index    map[T]int
}

// add returns the number of an element.
func (t *table[T]) add(element T) int {
	n, ok := t.index[element]
	if !ok {
		if t.index == nil {
			t.index = make(map[T]int)
		}
		n = len(t.elements)
		t.index[element] = n
		t.elements = append(t.elements, element)
	}
	return n
}

// encode returns starts of a host with their ages at the moment now.
func encode(host int, starts []start, now time.Duration, accounts *table[identifier.AccountName]) []messenger.UsageStart {
	list := make([]messenger.UsageStart, 0, len(starts))
	for _, s := range starts {
		list = append(list, messenger.UsageStart{Host: host, Account: accounts.add(s.account), Number: s.number, Age: now - s.at})
	}
	return list
}
