package messenger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// JobVerb is an operation requested from the entry that works on a batch job.
type JobVerb string

// Operations on a batch job.
const (
	// JobExists checks whether the job exists.
	JobExists JobVerb = "exists"
	// JobResults reads results.
	JobResults JobVerb = "results"
	// JobBody reads the body of an item.
	JobBody JobVerb = "body"
	// JobCommit makes a job exist whose pieces are in the store.
	JobCommit JobVerb = "commit"
	// JobReserve keeps room for a job of MaxBytes that is about to be stored. The answer has data
	// if the job exists.
	JobReserve JobVerb = "reserve"
)

// JobOutcome is the outcome of a JobCall.
type JobOutcome string

// Outcomes of a JobCall.
const (
	JobDone JobOutcome = "done"
	// JobUnknown means that the job or the item does not exist.
	JobUnknown JobOutcome = "unknown"
	// JobNotOwned means that the asked entry can't answer; it has done nothing.
	JobNotOwned JobOutcome = "elsewhere"
	// JobOtherAccount means that the job belongs to another client account; nothing was done.
	JobOtherAccount JobOutcome = "other-account"
	// JobNoRoom means that the asked entry has no room for the job; nothing was done.
	JobNoRoom JobOutcome = "no-room"
)

// JobCall requests an operation on a batch job from another entry.
type JobCall struct {
	Verb JobVerb           `cbor:"2,keyasint"`
	Job  identifier.JobID  `cbor:"3,keyasint"`
	Item identifier.ItemID `cbor:"4,keyasint,omitempty"`
	// After, Wait and MaxBytes are the parameters of JobResults; JobReserve has MaxBytes.
	After    int           `cbor:"5,keyasint,omitempty"`
	Wait     time.Duration `cbor:"6,keyasint,omitempty"`
	MaxBytes int           `cbor:"7,keyasint,omitempty"`
	// Account is that of the caller; empty if it has none.
	Account identifier.AccountName `cbor:"8,keyasint,omitempty"`
	// Record is the job's record for JobCommit.
	Record []byte `cbor:"9,keyasint,omitempty"`
	// AccountsInForce is set if the sender keeps jobs apart by client accounts. The receiver then
	// does so too, though its configuration may be older and have none.
	AccountsInForce bool `cbor:"10,keyasint,omitempty"`
}

// JobAnswer is the response to a JobCall.
type JobAnswer struct {
	Outcome JobOutcome `cbor:"2,keyasint"`
	// Data is an encoded page of results, or a body.
	Data []byte `cbor:"3,keyasint,omitempty"`
}
