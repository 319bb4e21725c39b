// Package storer defines the interface to the platform's store of keyed partitions: a
// log that retains the newest record of each key for ever.
package storer

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Partition names one partition of a keyed topic.
type Partition struct {
	Topic  identifier.TopicName
	Number identifier.PartitionNumber
}

// String implements fmt.Stringer.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is one change to a key.
type Record struct {
	Key string
	// Value is empty if the key is deleted.
	Value []byte
	// Offset is assigned by the store; Append ignores it.
	Offset identifier.LogOffset
}

// Page is the result of one read of the log.
type Page struct {
	// Records are consecutive, starting at the requested offset.
	Records []Record
	// End is the offset after the newest record of the partition.
	End identifier.LogOffset
}

// SnapshotPage has the newest record of some keys, ordered by key.
type SnapshotPage struct {
	Records []Record
	// More is set if further keys follow.
	More bool
	// End is the offset after the newest record of the partition when the page
	// was read.
	End identifier.LogOffset
}

// MaxKeyBytes is the length of a key that the format of records allows.
const MaxKeyBytes = 255

// AnyOffset makes an append unconditional.
const AnyOffset = identifier.LogOffset(math.MaxUint64)

// ErrExpired means that the requested records have expired.
var ErrExpired = errors.New("records have expired")

// EndMismatchError means that a conditional append had no effect because the partition
// ends at another offset.
type EndMismatchError struct{ End identifier.LogOffset }

// Error implements error.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("the partition ends at %d", e.End) }

// Log is the platform's store. Its errors are appender.ErrUnavailable if the call had
// no effect, appender.ErrOutcomeUnknown if that isn't known, ErrExpired, or an
// EndMismatchError.
type Log interface {
	// Newest returns the newest records of the keys that follow the key after, or of
	// the first keys if after is empty. Pages may be read at different moments.
	Newest(ctx context.Context, p Partition, after string) (SnapshotPage, error)
	// Read returns the records starting at offset from. It waits up to wait for a first
	// one.
	Read(ctx context.Context, p Partition, from identifier.LogOffset, wait time.Duration) (Page, error)
	// Append adds all records or none. It adds them if the partition ends at offset at,
	// or if at is AnyOffset, and returns the partition's new end.
	Append(ctx context.Context, p Partition, at identifier.LogOffset, records []Record) (identifier.LogOffset, error)
}

// Refresher brings a Sink up to date; *replicator.Replicator implements it.
type Refresher interface {
	// Refresh returns nil once the sink has every record that the store had acknowledged
	// before the call.
	Refresh(ctx context.Context) error
}

// Sink receives the records of a partition in order. Its calls don't overlap.
type Sink interface {
	// Reset replaces all records received before.
	Reset(records []Record)
	// Apply adds records.
	Apply(records []Record)
}
