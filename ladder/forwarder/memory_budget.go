package forwarder

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// A response is buffered completely before it is passed on, so that another target
// can be asked if the transfer fails. Faulty targets may send endless bodies,
// several at once. Each response may use a small amount of memory; beyond that
// all responses share a budget, so that only large ones fail when it is exhausted.

const (
	// maxResponseBytes bounds one response.
	maxResponseBytes = 8 << 20
	// unbudgetedBytes is what each response may use outside the budget.
	unbudgetedBytes = 64 << 10
	// sharedBudgetBytes bounds the memory of all responses in progress beyond
	// unbudgetedBytes. The smallest hosts in the users' settings have 184 MB.
	sharedBudgetBytes = 24 << 20
	// readSize is how much is read at once.
	readSize = 32 << 10
)

var (
	errResponseTooLarge = errors.Errorf("response larger than %d bytes", maxResponseBytes)
	errBudgetExhausted  = errors.Errorf("large responses in progress use more than the shared budget of %d bytes", sharedBudgetBytes)
)

// memoryBudget is the memory shared by large responses.
type memoryBudget struct {
	mutex sync.Mutex
	// available is never negative.
	available int
}

func newMemoryBudget(size int) *memoryBudget { return &memoryBudget{available: size} }

// reserve takes n bytes from the budget, or returns false if fewer are available.
func (m *memoryBudget) reserve(n int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if n > m.available {
		return false
	}
	m.available -= n
	return true
}

func (m *memoryBudget) release(n int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.available += n
}

// readAll reads a response's body to its end. It releases the memory when it
// returns, since the body is needed only for a short time after that.
func (m *memoryBudget) readAll(r io.Reader) (body []byte, err error) {
	reserved := 0
	defer func() { m.release(reserved) }()
	var all bytes.Buffer
	for {
		n, err := all.ReadFrom(io.LimitReader(r, readSize))
		switch {
		case err != nil:
			return nil, err
		case n < readSize:
			return all.Bytes(), nil
		case all.Len() > maxResponseBytes:
			return nil, errResponseTooLarge
		}
		if beyond := all.Len() - unbudgetedBytes - reserved; beyond > 0 {
			if !m.reserve(beyond) {
				return nil, errBudgetExhausted
			}
			reserved += beyond
		}
	}
}
