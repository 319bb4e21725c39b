// Package storer is the port to the platform's store of keyed partitions: a log
// whose newest record of each key is kept for ever.
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

// Record is one change of a key.
type Record struct {
	Key string
	// Value is empty where the key is dropped.
	Value []byte
	// Offset is the store's; it is not read by Append.
	Offset identifier.LogOffset
}

// Page is what one read of the log returns.
type Page struct {
	// Records follow each other without a gap from the offset asked for.
	Records []Record
	// End is the offset after the newest record of the partition.
	End identifier.LogOffset
}

// SnapshotPage has the newest record of some keys, in the order of the keys.
type SnapshotPage struct {
	Records []Record
	// More says that keys follow after the last one.
	More bool
	// End is the offset after the newest record of the partition when the page
	// was read.
	End identifier.LogOffset
}

// AnyOffset makes an append unconditional.
const AnyOffset = identifier.LogOffset(math.MaxUint64)

// ErrExpired says that the records asked for have expired.
var ErrExpired = errors.New("records have expired")

// EndMismatchError says that a conditional append had no effect, since the partition
// ends elsewhere.
type EndMismatchError struct{ End identifier.LogOffset }

// Error implements error.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("the partition ends at %d", e.End) }

// Log is the platform's store. Errors are appender.ErrUnavailable where nothing
// was done, appender.ErrAnswerLost where it isn't known, ErrForgotten or a
// MovedError.
type Log interface {
	// Newest returns the newest record of the keys after a key, or of the
	// first ones. The pages are of different moments.
	Newest(ctx context.Context, p Partition, after string) (SnapshotPage, error)
	// Read returns the records from offset from on. It waits up to wait for a
	// first one.
	Read(ctx context.Context, p Partition, from identifier.LogOffset, wait time.Duration) (Page, error)
	// Append adds the records, all or none, if the partition ends at at or at
	// is Anywhere. It returns where it ends then.
	Append(ctx context.Context, p Partition, at identifier.LogOffset, records []Record) (identifier.LogOffset, error)
}

// Sink is told the records of a partition, in their order. Its calls don't
// overlap.
type Sink interface {
	// Reset replaces everything that was told before.
	Reset(records []Record)
	// Apply adds records.
	Apply(records []Record)
}
