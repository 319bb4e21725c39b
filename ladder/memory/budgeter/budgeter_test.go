package budgeter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
)

const total = 16 << 20

// holder is a body that has made no progress for some time.
type holder struct {
	stalled     time.Duration
	reservation *budgeter.Reservation
	gaveWay     bool
}

func (h *holder) Stalled() time.Duration { return h.stalled }

func (h *holder) GiveWay() {
	h.gaveWay = true
	go h.reservation.Release()
}

func (h *holder) reserve(t *testing.T, b *budgeter.Budgeter, n int64) {
	t.Helper()
	var err error
	if h.reservation, err = b.TryReserve(n, budgeter.ClassOf(n), h); err != nil {
		t.Fatal(err)
	}
}

// Guards against ordinary callers that are locked out by large bodies or by jobs.
func TestTryReserve_SmallRequestsKeepTheirShare(t *testing.T) {
	b := budgeter.New(clockwork.NewRealClock(), total)
	b.Hold(2 * total)
	if _, err := b.TryReserve(total/2, budgeter.ClassLarge, nil); !errors.Is(err, budgeter.ErrExhausted) {
		t.Errorf("a large request: %v", err)
	}
	if _, err := b.TryReserve(total/4, budgeter.ClassSmall, nil); !errors.Is(err, budgeter.ErrExhausted) {
		t.Errorf("a large request of the wrong class: %v", err)
	}
	for n := range total / 4 / (32 << 10) {
		if _, err := b.TryReserve(32<<10, budgeter.ClassSmall, nil); err != nil {
			t.Fatalf("small request %d: %v", n, err)
		}
	}
}

// Guards against the largest legal body that is never served on a small machine.
func TestTryReserve_ALargeBodyMayExceedTheBudgetAlone(t *testing.T) {
	b := budgeter.New(clockwork.NewRealClock(), total)
	if _, err := b.TryReserve(16<<10, budgeter.ClassSmall, nil); err != nil {
		t.Fatal(err)
	}
	first, err := b.TryReserve(2*total, budgeter.ClassLarge, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.TryReserve(2*total, budgeter.ClassLarge, nil); !errors.Is(err, budgeter.ErrExhausted) {
		t.Errorf("a second one beside it: %v", err)
	}
	first.Release()
	if _, err := b.TryReserve(2*total, budgeter.ClassLarge, nil); err != nil {
		t.Errorf("a second one after it: %v", err)
	}
}

// Guards against a body with progress that gives way before one without.
func TestReserve_TheLongestStalledGivesWayFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budgeter.New(clockwork.NewRealClock(), total)
		moving, stalled, longest := &holder{}, &holder{stalled: 2 * time.Second}, &holder{stalled: 3 * time.Second}
		for _, h := range []*holder{moving, stalled, longest} {
			h.reserve(t, b, total/4)
		}
		if _, err := b.Reserve(t.Context(), total/4, budgeter.ClassLarge, nil); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]bool{false, false, true}, []bool{moving.gaveWay, stalled.gaveWay, longest.gaveWay}); diff != "" {
			t.Errorf("who gave way: %s", diff)
		}
	})
}

// Guards against requests that hang while there is no room.
func TestReserve_EndsWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budgeter.New(clockwork.NewRealClock(), total)
		if _, err := b.TryReserve(total/2, budgeter.ClassLarge, nil); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := b.Reserve(t.Context(), total/2, budgeter.ClassLarge, nil); !errors.Is(err, budgeter.ErrExhausted) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("took %s", took)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := b.Reserve(ctx, total/2, budgeter.ClassLarge, nil); !errors.Is(err, budgeter.ErrExhausted) {
			t.Errorf("after its context: %v", err)
		}
	})
}

// Guards against bytes that stay counted after their reservation has ended, or that are
// counted twice.
func TestReservation_HeldIsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budgeter.New(clockwork.NewRealClock(), total)
		var open []*budgeter.Reservation
		sizes := make(map[*budgeter.Reservation]int64)
		pick := func() *budgeter.Reservation { return rapid.SampledFrom(open).Draw(t, "reservation") }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.Int64Range(1, total/3).Draw(t, "bytes")
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step <= 1 || len(open) == 0:
				r := b.Open(nil)
				open = append(open, r)
				if r.TryGrow(n) {
					sizes[r] = n
				}
			case step == 2:
				if r := pick(); r.TryGrow(n) {
					sizes[r] += n
				}
			case step == 3:
				r := pick()
				r.Shrink(n)
				sizes[r] = max(0, sizes[r]-n)
			case step == 4:
				from, to := pick(), pick()
				if from != to {
					from.MoveTo(to)
					sizes[to] += sizes[from]
					open, sizes[from] = without(open, from), 0
				}
			default:
				r := pick()
				r.Release()
				open, sizes[r] = without(open, r), 0
				if r.TryGrow(1) {
					t.Fatal("a reservation grows after its end")
				}
			}
			want := int64(0)
			for _, n := range sizes {
				want += n
			}
			if held := b.Status().Held; held != want {
				t.Fatalf("%d bytes held, want %d", held, want)
			}
		}
		for _, r := range open {
			r.Release()
		}
		if _, err := b.TryReserve(2*total, budgeter.ClassLarge, nil); err != nil {
			t.Fatalf("after all have ended: %v", err)
		}
	})
}

func without(list []*budgeter.Reservation, r *budgeter.Reservation) (rest []*budgeter.Reservation) {
	for _, o := range list {
		if o != r {
			rest = append(rest, o)
		}
	}
	return rest
}

func TestBudgetOf_UnknownMemory(t *testing.T) {
	if diff := cmp.Diff(budgeter.BudgetOf(budgeter.DefaultMachineBytes), budgeter.BudgetOf(0)); diff != "" {
		t.Error(diff)
	}
}
