// Package messenger defines the messages between entries and sidecars, and
// between entries, and the link that carries them.
package messenger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Between entries one end sends Question and the other Reply. On a sidecar's
// link both ends send Hello first. Then the entry sends Start, Cancel, Resume,
// Release, Locate and Configuration; the sidecar sends Chunk, End, Refused and
// Located. Both send Heartbeat and Crashed. Chunk, End and Refused always have
// the request, attempt and incarnation, so that late or misdirected messages
// are recognized.

// ErrClosed means that the link is closed or has failed.
var ErrClosed = errors.New("link closed")

// ErrTooLarge means that a message exceeds the limits of its receiver. It was not sent, and
// the link is still usable.
var ErrTooLarge = errors.New("message exceeds the limits of its receiver")

// Link carries messages in order, or fails. It is safe for one receiver and any
// number of senders.
type Link interface {
	// Send passes the message to the transport. After an error other than ErrTooLarge the
	// peer may or may not receive it.
	Send(ctx context.Context, m Message) error
	// Receive waits for the next message until ctx ends. Every error is final.
	Receive(ctx context.Context) (Message, error)
	Close() error
}

// Message is one of the message types of this package.
//
//sumtype:decl
type Message interface{ message() }

// AttemptResult is the last message of an attempt: a Refused or an End.
//
//sumtype:decl
type AttemptResult interface {
	Message
	attemptResult()
}

// WeightGoal is the newest version that a trainer has announced for a model.
type WeightGoal struct {
	Model   identifier.ModelName     `cbor:"1,keyasint"`
	Version identifier.WeightVersion `cbor:"2,keyasint"`
	// Age is the time since the announcement; a timestamp would require
	// synchronized clocks.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// EqualIgnoringAge reports whether both goals have the same model and version.
func (g WeightGoal) EqualIgnoringAge(other WeightGoal) bool {
	return g.Model == other.Model && g.Version == other.Version
}

// Load is the last known load of a sidecar's target.
type Load struct {
	InFlight int                      `cbor:"1,keyasint,omitempty"`
	Queued   int                      `cbor:"2,keyasint,omitempty"`
	Slots    int                      `cbor:"3,keyasint,omitempty"`
	Version  identifier.WeightVersion `cbor:"4,keyasint,omitempty"`
	// SwitchTime is how long the engine's last weight switch took.
	SwitchTime time.Duration `cbor:"5,keyasint,omitempty"`
}

// Hello is the first message in each direction.
type Hello struct {
	// Name is the name of the entry or the target.
	Name        string                 `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	Zone        identifier.ZoneName    `cbor:"3,keyasint"`
	Service     identifier.ServiceName `cbor:"4,keyasint,omitempty"`
	Revision    identifier.Revision    `cbor:"5,keyasint,omitempty"`
	Leaving     bool                   `cbor:"6,keyasint,omitempty"`
	Goals       []WeightGoal           `cbor:"7,keyasint,omitempty"`
}

// Locate asks which of the samples a sidecar holds, running or finished.
type Locate struct {
	Samples []identifier.SampleID `cbor:"1,keyasint"`
}

// Located is the reply to Locate. It lists only samples that the sidecar holds.
type Located struct {
	Incarnation identifier.Incarnation `cbor:"1,keyasint"`
	Samples     []HeldSample           `cbor:"2,keyasint,omitempty"`
}

// HeldSample is a sample held by a sidecar.
type HeldSample struct {
	Sample  identifier.SampleID      `cbor:"1,keyasint"`
	Request identifier.RequestID     `cbor:"2,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"3,keyasint"`
}

// Heartbeat keeps a link alive and carries state that changes slowly. The
// Revision sent by an entry means that the Configuration last sent on this link
// is in force unchanged at that revision.
type Heartbeat struct {
	Revision identifier.Revision `cbor:"1,keyasint,omitempty"`
	Leaving  bool                `cbor:"2,keyasint,omitempty"`
	Load     Load                `cbor:"3,keyasint,omitempty"`
	// Goals are the weight goals that the sender knows. An entry sends only the
	// one for the sidecar's model.
	Goals []WeightGoal `cbor:"4,keyasint,omitempty"`
}

// Start asks a sidecar to run a request.
type Start struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
	// Incarnation is the sidecar incarnation from its Hello; other incarnations
	// refuse the request.
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Class       identifier.PriorityClass `cbor:"4,keyasint"`
	Team        identifier.TeamName      `cbor:"5,keyasint"`
	Call        identifier.CallName      `cbor:"6,keyasint"`
	Body        []byte                   `cbor:"7,keyasint"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"8,keyasint,omitempty"`
	// Timeout is how long the caller still waits; a deadline would require
	// synchronized clocks.
	Timeout time.Duration `cbor:"9,keyasint"`
	// ExpectedTokens is the expected number of tokens, 0 if unknown.
	ExpectedTokens identifier.TokenCount `cbor:"10,keyasint,omitempty"`
	// Sample is set for rollout work, whose response is kept for a takeover.
	Sample identifier.SampleID `cbor:"11,keyasint,omitempty"`
	// Fingerprint is equal for equal requests of any sender.
	Fingerprint identifier.Fingerprint `cbor:"12,keyasint"`
	// Exclusive requests may not run concurrently with others, because they
	// were running when a target crashed.
	Exclusive bool `cbor:"13,keyasint,omitempty"`
	// Urgency orders rollout work; larger runs sooner.
	Urgency int `cbor:"14,keyasint,omitempty"`
	// Streamed is set if data is to be sent as it is generated. Otherwise full
	// chunks are sent.
	Streamed bool `cbor:"16,keyasint,omitempty"`
	// RetainResponse is set if the response is to be kept for a while after
	// delivery, because the caller may repeat the request through any entry.
	RetainResponse bool `cbor:"17,keyasint,omitempty"`
	// OldestVersion is the oldest weight version whose output is still usable.
	OldestVersion identifier.WeightVersion `cbor:"15,keyasint,omitempty"`
}

// Cancel tells a sidecar that nobody waits for the attempt any longer. The
// sidecar replies with Refused if the attempt never started, with End
// otherwise.
type Cancel struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
}

// Resume requests an attempt's response from an offset, on this link. A sidecar
// that does not know the attempt records a tombstone and replies with Refused.
type Resume struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
	Offset  uint64                   `cbor:"3,keyasint"`
}

// Release tells a sidecar that the complete response has arrived.
type Release struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
}

// Configuration is the part of the accepted document that a sidecar needs.
type Configuration struct {
	Revision identifier.Revision `cbor:"1,keyasint"`
	// Slots limits the requests running at the target, QueueLimit the requests
	// queued for it.
	Slots      int `cbor:"2,keyasint"`
	QueueLimit int `cbor:"3,keyasint"`
	// Model is empty for a plain service.
	Model          identifier.ModelName `cbor:"4,keyasint,omitempty"`
	FencingChecked bool                 `cbor:"5,keyasint,omitempty"`
	AwayPercent    int                  `cbor:"6,keyasint,omitempty"`
	Peers          int                  `cbor:"7,keyasint,omitempty"`
	Rank           int                  `cbor:"8,keyasint,omitempty"`
	// CrashQuarantine is how long a request that crashes targets is refused.
	CrashQuarantine time.Duration `cbor:"9,keyasint,omitempty"`
	// SwitchTime is the longest weight switch reported by any target of the
	// service.
	SwitchTime time.Duration `cbor:"10,keyasint,omitempty"`
}

// Chunk is a part of a response.
type Chunk struct {
	Request     identifier.RequestID     `cbor:"1,keyasint"`
	Attempt     identifier.AttemptNumber `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Offset      uint64                   `cbor:"4,keyasint"`
	Data        []byte                   `cbor:"5,keyasint"`
}

// Span gives the weight version of the tokens From to To (exclusive).
type Span struct {
	Version identifier.WeightVersion `cbor:"1,keyasint" json:"version"`
	From    identifier.TokenCount    `cbor:"2,keyasint" json:"from-token"`
	To      identifier.TokenCount    `cbor:"3,keyasint" json:"to-token"`
}

// EndReason is the reason why a started attempt ended.
type EndReason string

// Reasons of an End.
const (
	// EndComplete: the response is complete and must match length and checksum.
	EndComplete EndReason = "whole"
	// EndTargetFailed: the target failed; the request may have run.
	EndTargetFailed EndReason = "target-failed"
	// EndCancelled: the attempt was cancelled by the caller or for exceeding
	// the staleness bound.
	EndCancelled EndReason = "cancelled"
	// EndDropped: the attempt ended earlier and its response is no longer held.
	EndDropped EndReason = "dropped"
	// EndLabelUnknown: the response is complete, but its weight version is
	// unknown.
	EndLabelUnknown EndReason = "label-unknown"
)

// End is the last message of an attempt that started. A response is complete
// only with EndComplete.
type End struct {
	Request     identifier.RequestID     `cbor:"1,keyasint"`
	Attempt     identifier.AttemptNumber `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Reason      EndReason                `cbor:"4,keyasint"`
	// Status is the target's HTTP status.
	Status int `cbor:"5,keyasint,omitempty"`
	// Length and Checksum (xxhash64) cover the concatenated data of all chunks.
	Length   uint64 `cbor:"6,keyasint"`
	Checksum uint64 `cbor:"7,keyasint"`
	// QueueTime is how long the attempt waited in the sidecar's queue.
	QueueTime time.Duration `cbor:"9,keyasint,omitempty"`
	// Spans cover all tokens, in order and without gaps.
	Spans []Span `cbor:"8,keyasint,omitempty"`
}

// RefusalReason is the reason why a sidecar did not start an attempt.
type RefusalReason string

// Reasons of a Refused.
const (
	RefusedQueueFull        RefusalReason = "queue-full"
	RefusedLeaving          RefusalReason = "leaving"
	RefusedNeverStarted     RefusalReason = "never-started"
	RefusedOtherIncarnation RefusalReason = "other-incarnation"
	RefusedQuarantined      RefusalReason = "crashes-targets"
	RefusedByTarget         RefusalReason = "target-refused"
	RefusedTooLate          RefusalReason = "too-late"
)

// Refused means that the attempt has not started and, since the sidecar keeps a
// tombstone, never will.
type Refused struct {
	Request     identifier.RequestID     `cbor:"1,keyasint"`
	Attempt     identifier.AttemptNumber `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Reason      RefusalReason            `cbor:"4,keyasint"`
	RetryAfter  time.Duration            `cbor:"5,keyasint,omitempty"`
}

// Crashed reports the requests that were running at a target when its process
// died. Entries and sidecars forward it on all their links.
type Crashed struct {
	BootID string `cbor:"1,keyasint"`
	// Fingerprints are those of the requests that were running.
	Fingerprints []identifier.Fingerprint `cbor:"2,keyasint"`
	Target       identifier.TargetName    `cbor:"3,keyasint"`
	// Cleared has those of them that have since run exclusively and completed.
	Cleared []identifier.Fingerprint `cbor:"4,keyasint,omitempty"`
	// Age is the time since the crash; a timestamp would require synchronized
	// clocks.
	Age time.Duration `cbor:"5,keyasint"`
}

func (Hello) message()         {}
func (Heartbeat) message()     {}
func (Start) message()         {}
func (Cancel) message()        {}
func (Resume) message()        {}
func (Release) message()       {}
func (Configuration) message() {}
func (Chunk) message()         {}
func (End) message()           {}
func (Refused) message()       {}
func (End) attemptResult()     {}
func (Refused) attemptResult() {}
func (Crashed) message()       {}
func (Locate) message()        {}
func (Located) message()       {}
func (Question) message()      {}
func (Reply) message()         {}
