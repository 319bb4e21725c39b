// Package deliverer runs at an entry: it has a trainer's samples generated and
// scored, and hands each over, numbered, until the trainer has it.
package deliverer

import (
	"encoding/json"
	"strconv"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Group asks for several samples of one prompt.
type Group struct {
	ID identifier.GroupID `json:"group-id"`
	// Body is the engine's request.
	Body json.RawMessage `json:"body"`
	// Samples is how many are wanted.
	Samples int `json:"samples"`
	// ExpectedTokens is the expected number of tokens, 0 if unknown.
	ExpectedTokens identifier.TokenCount `json:"expected-tokens,omitempty"`
}

// Sample is one finished sample.
type Sample struct {
	// Sequence is dense within a session, from 1.
	Sequence identifier.SequenceNumber `json:"sequence"`
	ID       identifier.SampleID       `json:"sample-id"`
	Group    identifier.GroupID        `json:"group-id"`
	Text     string                    `json:"text"`
	// Spans name the weights of every token; never empty.
	Spans []messenger.Span `json:"spans"`
	// Reward is nil for a model without a scorer.
	Reward *float64 `json:"reward,omitempty"`
}

// OpenRequest is what a trainer says when it opens a session.
type OpenRequest struct {
	Model identifier.ModelName `json:"model"`
	// Session is larger than any that the trainer has used before.
	Session identifier.SessionNumber `json:"session"`
	// Received lists the samples of unfinished groups that the trainer has.
	Received []identifier.SampleID `json:"have"`
	// Takeover says that other entries may hold samples of this trainer.
	Takeover bool `json:"takeover,omitempty"`
}

// SubmitRequest adds groups to a session. A group already known is passed over.
type SubmitRequest struct {
	Model   identifier.ModelName     `json:"model"`
	Session identifier.SessionNumber `json:"session"`
	Groups  []Group                  `json:"groups"`
}

// FetchRequest asks for the samples after a number; it says that the trainer has all
// up to it.
type FetchRequest struct {
	Model   identifier.ModelName     `json:"model"`
	Session identifier.SessionNumber `json:"session"`
	// After is the last number that the trainer has taken.
	After identifier.SequenceNumber `json:"after"`
	// Version is the trainer's own at this moment.
	Version identifier.WeightVersion `json:"version"`
	// Rejected lists samples up to After that were too stale to use.
	Rejected []identifier.SampleID `json:"rejected,omitempty"`
	// Limit bounds the samples of one answer.
	Limit int `json:"limit"`
}

// Batch answers a Fetch.
type Batch struct {
	Samples []Sample `json:"samples"`
	// StalenessBound is the one in force.
	StalenessBound uint64 `json:"staleness-bound"`
}

// AnnounceRequest says that new weights are in the weight store.
type AnnounceRequest struct {
	Model   identifier.ModelName     `json:"model"`
	Version identifier.WeightVersion `json:"version"`
}

// Stale says whether a sample with the oldest version is past the bound for a
// trainer at version current.
func Stale(current, oldest identifier.WeightVersion, bound uint64) bool {
	return uint64(current) > uint64(oldest)+bound
}

// SampleIDOf names the nth sample of a group, from 0.
func SampleIDOf(g identifier.GroupID, n int) identifier.SampleID {
	return identifier.SampleID(string(g) + "/" + strconv.Itoa(n))
}
