// Package jobstorer keeps batch jobs and their results in the platform's store, so
// that any entry can answer requests for them and no entry holds the only copy.
package jobstorer

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// MaxIDBytes is the length up to which the id of a job fits into all keys of its records
// but those of partial texts, which may be missing.
const MaxIDBytes = 224

// Scorer is the call that scores the complete text of an item.
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
	// MaxTokens bounds the prompt and output of the item together.
	MaxTokens identifier.TokenCount `cbor:"5,keyasint"`
	Group     identifier.GroupID    `cbor:"6,keyasint"`
	// ExpectedTokens is the submitter's estimate of the output length, or 0. It is
	// right in the median but often far off.
	ExpectedTokens identifier.TokenCount `cbor:"7,keyasint"`
	// Scorer is nil if the text is not scored.
	Scorer *Scorer `cbor:"8,keyasint"`
}

// Submission is a batch job as submitted.
type Submission struct {
	ID   identifier.JobID `cbor:"1,keyasint"`
	Host string           `cbor:"2,keyasint"`
	Path string           `cbor:"3,keyasint"`
	// Model is empty for jobs that do not train a model.
	Model identifier.ModelName `cbor:"4,keyasint"`
	// MinVersion is the oldest version of the weights that may generate text for the
	// job.
	MinVersion identifier.WeightVersion `cbor:"5,keyasint"`
	// WantedGroups is how many complete groups the trainer waits for.
	WantedGroups int    `cbor:"6,keyasint"`
	Items        []Item `cbor:"7,keyasint"`
	// AcceptedAt is in milliseconds since 1970, by the clock of the accepting host.
	AcceptedAt int64 `cbor:"8,keyasint"`
	// Account is the client account that has submitted the job. It is empty, and left out of the
	// record, if there is none.
	Account identifier.AccountName `cbor:"9,keyasint,omitempty"`
}

// itemBytes is about what an item holds beyond its bodies.
const itemBytes = 300

// size returns about how many bytes the submission holds.
func (s *Submission) size() int64 {
	n := len(s.Items) * itemBytes
	for _, i := range s.Items {
		n += len(i.Body)
		if i.Scorer != nil {
			n += len(i.Scorer.Body)
		}
	}
	return int64(n)
}

// item returns nil if the job does not contain the item.
func (s *Submission) item(id identifier.ItemID) *Item {
	for n := range s.Items {
		if s.Items[n].ID == id {
			return &s.Items[n]
		}
	}
	return nil
}

// ResultState is how an item ended.
type ResultState string

// The states of a result.
const (
	// ResultCompleted means that the text is complete.
	ResultCompleted ResultState = "completed"
	// ResultFailed means that the item has failed for good.
	ResultFailed ResultState = "failed"
)

// Result is the result of an item.
type Result struct {
	Item  identifier.ItemID `cbor:"1,keyasint"`
	State ResultState       `cbor:"2,keyasint"`
	Text  []byte            `cbor:"3,keyasint"`
	// Versions are the weight versions that generated the text, in ascending order.
	Versions []identifier.WeightVersion `cbor:"4,keyasint"`
	// Score is the signature of the scorer's answer.
	Score string `cbor:"5,keyasint"`
}

// Job is a copy of the state of a batch job.
type Job struct {
	Submission
	// Age is the time since its acceptance.
	Age time.Duration
	// Recorded holds the items that have a result.
	Recorded map[identifier.ItemID]bool
}
