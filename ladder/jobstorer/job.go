// Package jobstorer keeps batch jobs and their results in the platform's
// store, so that any entry answers for them and none has to last.
package jobstorer

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Scorer is the call that scores an item's finished text.
type Scorer struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Item is one request of a batch job.
type Item struct {
	ID      identifier.ItemID `cbor:"1,keyasint"`
	Path    string            `cbor:"2,keyasint"`
	Headers map[string]string `cbor:"3,keyasint"`
	Body    []byte            `cbor:"4,keyasint"`
	// MaxTokens bounds the item's prompt and output together.
	MaxTokens identifier.TokenCount `cbor:"5,keyasint"`
	Group     identifier.GroupID    `cbor:"6,keyasint"`
	// ExpectedTokens is the submitter's guess of the output; 0 is none. It is
	// right in the median and often far off.
	ExpectedTokens identifier.TokenCount `cbor:"7,keyasint"`
	// Scorer is nil where nothing scores the text.
	Scorer *Scorer `cbor:"8,keyasint"`
}

// Submission is a batch job as it was handed in.
type Submission struct {
	ID   identifier.JobID `cbor:"1,keyasint"`
	Host string           `cbor:"2,keyasint"`
	Path string           `cbor:"3,keyasint"`
	// Model is empty for jobs that don't train one.
	Model identifier.ModelName `cbor:"4,keyasint"`
	// MinVersion is of the weights that may generate text of the job.
	MinVersion identifier.WeightVersion `cbor:"5,keyasint"`
	// WantedGroups is how many complete groups the trainer waits for.
	WantedGroups int    `cbor:"6,keyasint"`
	Items        []Item `cbor:"7,keyasint"`
	// AcceptedAt is in milliseconds since 1970 by the accepting host's clock.
	AcceptedAt int64 `cbor:"8,keyasint"`
}

// item returns nil where the job doesn't have the item.
func (s *Submission) item(id identifier.ItemID) *Item {
	for n := range s.Items {
		if s.Items[n].ID == id {
			return &s.Items[n]
		}
	}
	return nil
}

// ResultState says how an item ended.
type ResultState string

// The states of a result.
const (
	// ResultCompleted has a whole text.
	ResultCompleted ResultState = "completed"
	// ResultFailed was given up.
	ResultFailed ResultState = "failed"
)

// Result is the outcome of an item.
type Result struct {
	Item  identifier.ItemID `cbor:"1,keyasint"`
	State ResultState       `cbor:"2,keyasint"`
	Text  []byte            `cbor:"3,keyasint"`
	// Versions are all that generated an event of the text, in rising order.
	Versions []identifier.WeightVersion `cbor:"4,keyasint"`
	// Score is the signature of the scorer's answer.
	Score string `cbor:"5,keyasint"`
}

// Job is a copy of what is known of one batch job.
type Job struct {
	Submission
	// Age is the time since its acceptance.
	Age time.Duration
	// Recorded has the items with a result.
	Recorded map[identifier.ItemID]bool
}
