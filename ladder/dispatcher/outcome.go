package dispatcher

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Code is a stable identifier for the reason why a request did not complete.
type Code string

// Codes used by the dispatcher.
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

// ErrStopping is the cause of a context that ends because the process is
// stopping.
var ErrStopping = errors.New("process stopping")

// Outcome is the outcome of a request: Completed, NotRun or Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Completed means that the complete response has arrived.
type Completed struct {
	// Status is the target's HTTP status.
	Status int
	// Body is the complete response, also if it was streamed.
	Body []byte
	// Checksum is the xxhash64 of Body.
	Checksum uint64
	// Spans are the weight versions of the tokens, if known.
	Spans  []messenger.Span
	Target identifier.TargetName
	// QueueTime is how long the request waited in the sidecar's queue.
	QueueTime time.Duration
}

// NotRun means that the request did not run and never will.
type NotRun struct {
	Code Code
	// RetryAfter is the delay before a retry.
	RetryAfter time.Duration
}

// Unknown means that the request may have run, completely or in part.
type Unknown struct {
	Code       Code
	RetryAfter time.Duration
}

func (Completed) outcome() {}
func (NotRun) outcome()    {}
func (Unknown) outcome()   {}
