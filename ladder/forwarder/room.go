package forwarder

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// An answer is kept whole before it is passed on, so that another target can
// give it where one breaks off. Targets in trouble may send a body without end,
// several at once. Small answers always find room; what large ones have beyond
// that is bounded over all of them, so that they fail alone.

const (
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 8 << 20
	// freeAnswerBytes is the part of an answer that is always kept.
	freeAnswerBytes = 64 << 10
	// sharedAnswerBytes bounds what all answers under way have beyond that. The
	// smallest hosts of the users' sheets have 184 MB.
	sharedAnswerBytes = 24 << 20
	// readBytes is how much is asked for at once.
	readBytes = 32 << 10
)

var (
	errAnswerTooLarge = errors.Errorf("the answer has over %d bytes", maxAnswerBytes)
	errNoRoom         = errors.Errorf("large answers under way have over %d bytes", sharedAnswerBytes)
)

// room is the memory that large answers share.
type room struct {
	mutex sync.Mutex
	// left is never negative.
	left int
}

func newRoom(size int) *room { return &room{left: size} }

// take returns false if there isn't that much left.
func (m *room) take(n int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func (m *room) giveBack(n int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.left += n
}

// readAll reads an answer's body to its end. The room is given back when it is
// read, since what follows is short.
func (m *room) readAll(r io.Reader) (body []byte, err error) {
	taken := 0
	defer func() { m.giveBack(taken) }()
	var all bytes.Buffer
	for {
		n, err := all.ReadFrom(io.LimitReader(r, readBytes))
		switch {
		case err != nil:
			return nil, err
		case n < readBytes:
			return all.Bytes(), nil
		case all.Len() > maxAnswerBytes:
			return nil, errAnswerTooLarge
		}
		if beyond := all.Len() - freeAnswerBytes - taken; beyond > 0 {
			if !m.take(beyond) {
				return nil, errNoRoom
			}
			taken += beyond
		}
	}
}
