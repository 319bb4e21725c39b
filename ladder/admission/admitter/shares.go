package admitter

import (
	"math"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/admission/order"
)

// shareHalfLife is the half-life of the work that a flow has been given: what an account left
// unused some seconds ago is lent to others and not owed to it.
const shareHalfLife = time.Second

// forgottenWork is the work, in seconds, below which a flow is forgotten.
const forgottenWork = 0.001

// shares counts the work that each flow was given lately.
type shares struct {
	used map[order.Flow]float64
	// at is the time to which used has decayed.
	at time.Time
	// total and count are of the flows that have used work or wait, as of the last settle.
	total float64
	count int
}

func newShares() shares { return shares{used: make(map[order.Flow]float64)} }

func (h *shares) use(now time.Time, f order.Flow, work time.Duration) {
	h.decay(now)
	h.used[f] += work.Seconds()
}

func (h *shares) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(h.at).Seconds() / shareHalfLife.Seconds())
	h.at = now
	for f, used := range h.used {
		if used *= factor; used < forgottenWork {
			delete(h.used, f)
			continue
		}
		h.used[f] = used
	}
}

// settle prepares factor for the waiting requests.
func (h *shares) settle(now time.Time, queue []*waiter) {
	h.decay(now)
	waiting := make(map[order.Flow]bool)
	for _, w := range queue {
		waiting[w.request.Flow()] = true
	}
	h.total, h.count = 0, len(waiting)
	for f := range waiting {
		h.total += h.used[f]
	}
}

func (h *shares) factor(f order.Flow) float64 {
	return order.ShareFactor(h.used[f], h.total, h.count)
}
