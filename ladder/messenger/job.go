package messenger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// JobVerb is what is asked of the entry that works on a batch job.
type JobVerb string

// The verbs.
const (
	// JobExists asks whether there is such a job.
	JobExists JobVerb = "exists"
	// JobResults reads results.
	JobResults JobVerb = "results"
	// JobBody reads the body of an item.
	JobBody JobVerb = "body"
)

// JobOutcome is how a JobCall ended.
type JobOutcome string

// The verdicts.
const (
	JobDone JobOutcome = "done"
	// JobUnknown says that there is no such job, or no such item.
	JobUnknown JobOutcome = "unknown"
	// JobNotOwned says that the asked entry can't answer; nothing was done.
	JobNotOwned JobOutcome = "elsewhere"
)

// JobCall asks another entry about a batch job.
type JobCall struct {
	Verb JobVerb           `cbor:"2,keyasint"`
	Job  identifier.JobID  `cbor:"3,keyasint"`
	Item identifier.ItemID `cbor:"4,keyasint,omitempty"`
	// After, Wait and MaxBytes are those of a read of results.
	After    int           `cbor:"5,keyasint,omitempty"`
	Wait     time.Duration `cbor:"6,keyasint,omitempty"`
	MaxBytes int           `cbor:"7,keyasint,omitempty"`
}

// JobAnswer answers a JobCall.
type JobAnswer struct {
	Outcome JobOutcome `cbor:"2,keyasint"`
	// Data is an encoded part of the results, or a body.
	Data []byte `cbor:"3,keyasint,omitempty"`
}
