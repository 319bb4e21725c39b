// Package roomkeeper decides which large batch jobs a host that owns them has room for. The host
// that accepts a job asks its owner first, since the owner holds the job for as long as it exists,
// and reads it again after each restart.
package roomkeeper

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ErrNoRoom means that the host would exceed its memory with the job. Nothing was stored.
var ErrNoRoom = errors.New("no room for another batch job of that size")

// reservationTime is how long room is kept for a job that has not been read from the store yet.
// Submissions are written within a few seconds.
const reservationTime = 20 * time.Second

// Keeper accounts for the encoded bytes of the jobs that a host holds.
type Keeper struct {
	clock clockwork.Clock
	// capacity is what all jobs may have together, in bytes; 0 means no bound.
	capacity int64

	mutex sync.Mutex
	held  map[identifier.JobID]int64
	// reserved has no job that is held.
	reserved map[identifier.JobID]reservation
}

type reservation struct {
	bytes int64
	until time.Time
}

// New returns a Keeper of a host that has room for capacity bytes, or for any number if that is
// not positive.
func New(clock clockwork.Clock, capacity int64) *Keeper {
	return &Keeper{clock: clock, capacity: capacity, held: make(map[identifier.JobID]int64), reserved: make(map[identifier.JobID]reservation)}
}

// Reserve keeps room for a job that is about to be stored. A job that is held or reserved has its
// room already, and one that is alone has room whatever its size.
func (k *Keeper) Reserve(id identifier.JobID, bytes int64) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, held := k.held[id]; held {
		return nil
	}
	others := k.othersThan(id)
	if k.capacity > 0 && others > 0 && others+bytes > k.capacity {
		return ErrNoRoom
	}
	k.reserved[id] = reservation{bytes: bytes, until: k.clock.Now().Add(reservationTime)}
	return nil
}

// othersThan returns the bytes of all jobs but one, and forgets reservations that have lapsed. The
// caller must hold the mutex.
func (k *Keeper) othersThan(id identifier.JobID) (sum int64) {
	now := k.clock.Now()
	for _, bytes := range k.held {
		sum += bytes
	}
	for other, r := range k.reserved {
		switch {
		case !r.until.After(now):
			delete(k.reserved, other)
		case other != id:
			sum += r.bytes
		}
	}
	return sum
}

// Hold records that the host holds a job.
func (k *Keeper) Hold(id identifier.JobID, bytes int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.reserved, id)
	k.held[id] = bytes
}

// Release records that the host no longer holds a job.
func (k *Keeper) Release(id identifier.JobID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.held, id)
}
