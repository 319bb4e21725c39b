package forwarder

import (
	"bytes"
	"context"
	"io"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
)

// A response is buffered completely before it is passed on, so that another target
// can be asked if the transfer fails. Faulty targets may send endless bodies,
// several at once. Each response may use a small amount of memory, which counts in the account of
// the process but is never refused, so that only large responses fail when it is exhausted.

const (
	// maxResponseBytes bounds one response.
	maxResponseBytes = 8 << 20
	// unbudgetedBytes is what each response may use even if the account has no room.
	unbudgetedBytes = 64 << 10
	// defaultBudgetBytes bounds the memory of all responses in progress beyond
	// unbudgetedBytes if the process has no account of its own.
	defaultBudgetBytes = 24 << 20
	// readSize is how much is read at once.
	readSize = 32 << 10
)

var (
	errResponseTooLarge = errors.Errorf("response larger than %d bytes", maxResponseBytes)
	errBudgetExhausted  = errors.New("no memory left in the budget for a large response")
)

// memoryBudget is the account on which large responses draw.
type memoryBudget struct{ budgeter *budgeter.Budgeter }

func newMemoryBudget(clock clockwork.Clock, size int64) *memoryBudget {
	return &memoryBudget{budgeter: budgeter.New(clock, size)}
}

// UseBudgeter makes responses draw on the account of the process. It must be called
// before the first request.
func (f *Forwarder) UseBudgeter(b *budgeter.Budgeter) { f.memory = &memoryBudget{budgeter: b} }

// readAll reads a response's body to its end. The memory then belongs to the reservation
// of the request, until its response has been passed on. If that is nil, the memory is
// released, since the body is needed only for a short time after that.
func (m *memoryBudget) readAll(ctx context.Context, r io.Reader, request *budgeter.Reservation) (body []byte, err error) {
	response := m.budgeter.Open(nil)
	defer func() {
		if err != nil {
			response.Release()
			return
		}
		response.MoveTo(request)
	}()
	held, reserved := 0, 0
	var all bytes.Buffer
	for {
		n, err := all.ReadFrom(io.LimitReader(r, readSize))
		if err != nil {
			return nil, err
		}
		small := min(all.Cap(), unbudgetedBytes)
		response.Hold(int64(small - held))
		held = small
		switch {
		case n < readSize:
			return all.Bytes(), nil
		case all.Len() > maxResponseBytes:
			return nil, errResponseTooLarge
		}
		if beyond := all.Cap() - unbudgetedBytes - reserved; beyond > 0 {
			if response.Grow(ctx, int64(beyond)) != nil {
				return nil, errBudgetExhausted
			}
			reserved += beyond
		}
	}
}
