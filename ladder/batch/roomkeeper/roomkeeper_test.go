package roomkeeper

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Guards against a host that takes more large jobs than it has room for, one after the other or at
// the same time, and against room that is never given back.
func TestReserve_KeepsWithinTheRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	k := New(clock, 100)
	reserve := func(id identifier.JobID, bytes int64, want error) {
		t.Helper()
		if err := k.Reserve("job-"+id, bytes); !errors.Is(err, want) {
			t.Errorf("job %s of %d bytes: %v, want %v", id, bytes, err, want)
		}
	}
	reserve("first", 500, nil) // alone
	reserve("second", 10, ErrNoRoom)
	reserve("first", 500, nil)
	clock.Advance(reservationTime)
	reserve("second", 60, nil)
	reserve("third", 60, ErrNoRoom)
	reserve("third", 40, nil)
	k.Hold("job-second", 60)
	k.Hold("job-third", 40)
	clock.Advance(reservationTime)
	reserve("fourth", 1, ErrNoRoom)
	reserve("third", 1000, nil) // held
	k.Release("job-third")
	reserve("fourth", 40, nil)
	if diff := cmp.Diff(map[identifier.JobID]int64{"job-second": 60}, k.held); diff != "" {
		t.Errorf("held: %s", diff)
	}
	if err := New(clock, 0).Reserve("job", 1<<40); err != nil {
		t.Errorf("without a bound: %v", err)
	}
}
