package dispatcher

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Code is a stable name for why a request did not complete.
type Code string

// The codes that a dispatcher gives.
const (
	CodeNoTarget       Code = "no-target"
	CodeQueueFull      Code = "queue-full"
	CodeTargetRefused  Code = "target-refused"
	CodeCrashesTargets Code = "crashes-targets"
	CodeTimeout        Code = "timeout"
	CodeTargetFailed   Code = "target-failed"
	CodeTargetLost     Code = "target-lost"
	CodeCallerGone     Code = "caller-gone"
	CodeLabelUnknown   Code = "label-unknown"
	CodeAlreadyRan     Code = "already-ran"
	CodeStopping       Code = "entry-stopping"
	CodeLogUnavailable Code = "log-unavailable"
	CodeKeyTooOld      Code = "idempotency-key-too-old"
	CodeKeyInvalid     Code = "idempotency-key-invalid"
)

// ErrStopping is the cause of a context that ends because this process stops.
var ErrStopping = errors.New("process stopping")

// Outcome is what became of a request: Completed, NotRun or Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Completed says that the whole answer has come.
type Completed struct {
	// Status is the target's HTTP status.
	Status int
	// Body is the whole answer, also where it was streamed.
	Body []byte
	// Checksum is the xxhash64 of Body.
	Checksum uint64
	// Spans name the weight versions of the tokens, if they are known.
	Spans  []messenger.Span
	Target identifier.TargetName
	// QueueTime is how long the request waited at its sidecar.
	QueueTime time.Duration
}

// NotRun says that the request truly did not run and never will.
type NotRun struct {
	Code Code
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Unknown says that the request may have run, in whole or in part.
type Unknown struct {
	Code       Code
	RetryAfter time.Duration
}

func (Completed) outcome() {}
func (NotRun) outcome()    {}
func (Unknown) outcome()   {}
