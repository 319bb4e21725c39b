// Package messenger defines the messages between entries and sidecars, and
// between entries, and the link that carries them.
package messenger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Between entries one end sends Question and the other Reply. On a link of a
// sidecar both ends say Hello first. After it an entry sends Start, Cancel,
// Resume, Release, Locate and Configuration; a sidecar sends Chunk, End,
// Refused and Located. Both send Heartbeat and Crashed. An answer always names
// request, attempt and incarnation, so that a late or crossed one is told apart.

// ErrClosed says that the link is closed or has failed.
var ErrClosed = errors.New("link closed")

// Link carries whole messages in order, or fails. It is safe for one receiver
// and any number of senders.
type Link interface {
	// Send gives the message to the transport. An error leaves open whether
	// the peer gets it.
	Send(ctx context.Context, m Message) error
	// Receive waits for the next message until ctx ends; any error is final.
	Receive(ctx context.Context) (Message, error)
	Close() error
}

// Message is one of the message types of this package.
//
//sumtype:decl
type Message interface{ message() }

// AttemptResult ends an attempt: a Refused or an End.
//
//sumtype:decl
type AttemptResult interface {
	Message
	answer()
}

// WeightGoal is the newest version that a trainer has announced for a model.
type WeightGoal struct {
	Model   identifier.ModelName     `cbor:"1,keyasint"`
	Version identifier.WeightVersion `cbor:"2,keyasint"`
	// Age is the time since the announcement, so that no clocks are compared.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// EqualIgnoringAge says whether both are of one announcement, whatever their age.
func (g WeightGoal) EqualIgnoringAge(other WeightGoal) bool {
	return g.Model == other.Model && g.Version == other.Version
}

// Load is what a sidecar last knew of its target.
type Load struct {
	InFlight int                      `cbor:"1,keyasint,omitempty"`
	Queued   int                      `cbor:"2,keyasint,omitempty"`
	Slots    int                      `cbor:"3,keyasint,omitempty"`
	Version  identifier.WeightVersion `cbor:"4,keyasint,omitempty"`
	// SwitchTime is how long the engine's last switch of weights took.
	SwitchTime time.Duration `cbor:"5,keyasint,omitempty"`
}

// Hello is the first message each way.
type Hello struct {
	// Name is the entry's or the target's name.
	Name        string                 `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	Zone        identifier.ZoneName    `cbor:"3,keyasint"`
	Service     identifier.ServiceName `cbor:"4,keyasint,omitempty"`
	Revision    identifier.Revision    `cbor:"5,keyasint,omitempty"`
	Leaving     bool                   `cbor:"6,keyasint,omitempty"`
	Goals       []WeightGoal           `cbor:"7,keyasint,omitempty"`
}

// Locate asks which of the samples a sidecar has running or finished.
type Locate struct {
	Samples []identifier.SampleID `cbor:"1,keyasint"`
}

// Located answers Locate. It names only the samples that are there.
type Located struct {
	Incarnation identifier.Incarnation `cbor:"1,keyasint"`
	Samples     []HeldSample           `cbor:"2,keyasint,omitempty"`
}

// HeldSample is a sample that runs or waits at a sidecar.
type HeldSample struct {
	Sample  identifier.SampleID      `cbor:"1,keyasint"`
	Request identifier.RequestID     `cbor:"2,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"3,keyasint"`
}

// Heartbeat keeps a link alive and carries what changes slowly. An entry's
// Revision says that the Configuration last sent on this link is in force
// unchanged at that revision.
type Heartbeat struct {
	Revision identifier.Revision `cbor:"1,keyasint,omitempty"`
	Leaving  bool                `cbor:"2,keyasint,omitempty"`
	Load     Load                `cbor:"3,keyasint,omitempty"`
	// Goals are sent when they changed since the last heartbeat.
	Goals []WeightGoal `cbor:"4,keyasint,omitempty"`
}

// Start asks a sidecar to run a request.
type Start struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
	// Incarnation is the sidecar's, as its Hello said: another one refuses.
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Class       identifier.PriorityClass `cbor:"4,keyasint"`
	Team        identifier.TeamName      `cbor:"5,keyasint"`
	Call        identifier.CallName      `cbor:"6,keyasint"`
	Body        []byte                   `cbor:"7,keyasint"`
	// Idempotent says that the call may run more than once.
	Idempotent bool `cbor:"8,keyasint,omitempty"`
	// Timeout is how long the caller still waits, so that no clocks are
	// compared.
	Timeout time.Duration `cbor:"9,keyasint"`
	// ExpectedTokens is the expected number of tokens, 0 if unknown.
	ExpectedTokens identifier.TokenCount `cbor:"10,keyasint,omitempty"`
	// Sample is set for rollout work: its result is kept for a takeover.
	Sample identifier.SampleID `cbor:"11,keyasint,omitempty"`
	// Fingerprint is equal for equal requests, whoever sends them.
	Fingerprint identifier.Fingerprint `cbor:"12,keyasint"`
	// Exclusive asks that nothing runs beside it: it was there at a crash.
	Exclusive bool `cbor:"13,keyasint,omitempty"`
	// Urgency orders rollout work; larger is sooner.
	Urgency int `cbor:"14,keyasint,omitempty"`
	// Streamed says that the answer is wanted piece by piece as it comes; of any
	// other, full chunks are sent.
	Streamed bool `cbor:"16,keyasint,omitempty"`
	// RetainResponse asks that the answer is kept for a while after it was taken: its
	// caller may send the request again, through any entry.
	RetainResponse bool `cbor:"17,keyasint,omitempty"`
	// OldestVersion is the oldest weight version that can still be of use.
	OldestVersion identifier.WeightVersion `cbor:"15,keyasint,omitempty"`
}

// Cancel tells a sidecar that nobody waits for the attempt any longer. It
// answers Refused if the attempt never started, End otherwise.
type Cancel struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
}

// Resume asks for the attempt's answer from an offset, on this link. A sidecar
// that doesn't know the attempt leaves a tombstone and answers Refused.
type Resume struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
	Offset  uint64                   `cbor:"3,keyasint"`
}

// Release tells a sidecar that the whole answer has arrived.
type Release struct {
	Request identifier.RequestID     `cbor:"1,keyasint"`
	Attempt identifier.AttemptNumber `cbor:"2,keyasint"`
}

// Configuration is the part of the accepted document that a sidecar needs.
type Configuration struct {
	Revision identifier.Revision `cbor:"1,keyasint"`
	// Slots and QueueLimit bound the requests at the target and before it.
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
	// SwitchTime is the longest that any peer has reported.
	SwitchTime time.Duration `cbor:"10,keyasint,omitempty"`
}

// Chunk is a piece of an answer.
type Chunk struct {
	Request     identifier.RequestID     `cbor:"1,keyasint"`
	Attempt     identifier.AttemptNumber `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Offset      uint64                   `cbor:"4,keyasint"`
	Data        []byte                   `cbor:"5,keyasint"`
}

// Span says that the tokens From to To (exclusive) came from one version.
type Span struct {
	Version identifier.WeightVersion `cbor:"1,keyasint" json:"version"`
	From    identifier.TokenCount    `cbor:"2,keyasint" json:"from-token"`
	To      identifier.TokenCount    `cbor:"3,keyasint" json:"to-token"`
}

// EndReason says how an attempt that had started came to its end.
type EndReason string

// The reasons of an End.
const (
	// EndComplete: the answer is whole; length and checksum count.
	EndComplete EndReason = "whole"
	// EndTargetFailed: the target broke off; the work may have run.
	EndTargetFailed EndReason = "target-failed"
	// EndCancelled: the caller or the staleness bound gave the work up.
	EndCancelled EndReason = "cancelled"
	// EndDropped: the attempt has ended before and its answer isn't held.
	EndDropped EndReason = "dropped"
	// EndLabelUnknown: whole, but the weights that made it aren't known.
	EndLabelUnknown EndReason = "label-unknown"
)

// End closes an answer. Without an End that says whole, it is no answer.
type End struct {
	Request     identifier.RequestID     `cbor:"1,keyasint"`
	Attempt     identifier.AttemptNumber `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Reason      EndReason                `cbor:"4,keyasint"`
	// Status is the target's HTTP status.
	Status int `cbor:"5,keyasint,omitempty"`
	// Length and Checksum (xxhash64) are of all the chunks' data together.
	Length   uint64 `cbor:"6,keyasint"`
	Checksum uint64 `cbor:"7,keyasint"`
	// QueueTime is how long the attempt waited at the sidecar.
	QueueTime time.Duration `cbor:"9,keyasint,omitempty"`
	// Spans cover all tokens, in order and without a gap.
	Spans []Span `cbor:"8,keyasint,omitempty"`
}

// RefusalReason says why a sidecar didn't start an attempt.
type RefusalReason string

// The reasons of a Refused.
const (
	RefusedQueueFull        RefusalReason = "queue-full"
	RefusedLeaving          RefusalReason = "leaving"
	RefusedNeverStarted     RefusalReason = "never-started"
	RefusedOtherIncarnation RefusalReason = "other-incarnation"
	RefusedQuarantined      RefusalReason = "crashes-targets"
	RefusedByTarget         RefusalReason = "target-refused"
	RefusedTooLate          RefusalReason = "too-late"
)

// Refused says that the attempt has not started and, since the sidecar keeps
// a tombstone, never will.
type Refused struct {
	Request     identifier.RequestID     `cbor:"1,keyasint"`
	Attempt     identifier.AttemptNumber `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation   `cbor:"3,keyasint"`
	Reason      RefusalReason            `cbor:"4,keyasint"`
	RetryAfter  time.Duration            `cbor:"5,keyasint,omitempty"`
}

// Crashed reports what was at a target when its process died. It is passed on
// over every link, both ways.
type Crashed struct {
	BootID string `cbor:"1,keyasint"`
	// Fingerprints names the requests that were running.
	Fingerprints []identifier.Fingerprint `cbor:"2,keyasint"`
	Target       identifier.TargetName    `cbor:"3,keyasint"`
	// Cleared names those of them that have since run alone to a whole answer.
	Cleared []identifier.Fingerprint `cbor:"4,keyasint,omitempty"`
	// Age is the time since the crash, so that no clocks are compared.
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
func (End) answer()            {}
func (Refused) answer()        {}
func (Crashed) message()       {}
func (Locate) message()        {}
func (Located) message()       {}
func (Question) message()      {}
func (Reply) message()         {}
