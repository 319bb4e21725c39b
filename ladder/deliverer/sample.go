// Package deliverer runs in an entry: it generates and scores a trainer's
// samples and delivers them, with sequence numbers, until the trainer
// acknowledges them.
package deliverer

import (
	"encoding/json"
	"strconv"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Group requests several samples of one prompt.
type Group struct {
	ID identifier.GroupID `json:"group-id"`
	// Body is the request passed to the engine.
	Body json.RawMessage `json:"body"`
	// Samples is the number of samples requested.
	Samples int `json:"samples"`
	// ExpectedTokens is the expected number of tokens, 0 if unknown.
	ExpectedTokens identifier.TokenCount `json:"expected-tokens,omitempty"`
}

// Sample is one finished sample.
type Sample struct {
	// Sequence starts at 1 in each session and has no gaps.
	Sequence identifier.SequenceNumber `json:"sequence"`
	ID       identifier.SampleID       `json:"sample-id"`
	Group    identifier.GroupID        `json:"group-id"`
	Text     string                    `json:"text"`
	// Spans are the weight versions of all tokens; never empty.
	Spans []messenger.Span `json:"spans"`
	// Reward is nil for a model without a scorer.
	Reward *float64 `json:"reward,omitempty"`
}

// OpenRequest opens a session.
type OpenRequest struct {
	Model identifier.ModelName `json:"model"`
	// Session is larger than any number that the trainer has used before.
	Session identifier.SessionNumber `json:"session"`
	// Received lists the samples of unfinished groups that the trainer has.
	Received []identifier.SampleID `json:"have"`
	// Takeover is set if other entries may hold samples of this trainer.
	Takeover bool `json:"takeover,omitempty"`
}

// SubmitRequest adds groups to a session. Groups already known are ignored.
type SubmitRequest struct {
	Model   identifier.ModelName     `json:"model"`
	Session identifier.SessionNumber `json:"session"`
	Groups  []Group                  `json:"groups"`
}

// FetchRequest requests the samples after a sequence number, and acknowledges
// the samples up to it.
type FetchRequest struct {
	Model   identifier.ModelName     `json:"model"`
	Session identifier.SessionNumber `json:"session"`
	// After is the last sequence number that the trainer has processed.
	After identifier.SequenceNumber `json:"after"`
	// Version is the trainer's current weight version.
	Version identifier.WeightVersion `json:"version"`
	// Rejected lists the samples up to After that were too stale to use.
	Rejected []identifier.SampleID `json:"rejected,omitempty"`
	// Limit is the maximum number of samples in one response.
	Limit int `json:"limit"`
}

// Batch is the response to a FetchRequest.
type Batch struct {
	Samples []Sample `json:"samples"`
	// StalenessBound is the staleness bound in force.
	StalenessBound uint64 `json:"staleness-bound"`
}

// AnnounceRequest reports that new weights are in the weight store.
type AnnounceRequest struct {
	Model   identifier.ModelName     `json:"model"`
	Version identifier.WeightVersion `json:"version"`
}

// Stale reports whether a sample with the given oldest version exceeds the
// staleness bound for a trainer at version current.
func Stale(current, oldest identifier.WeightVersion, bound uint64) bool {
	return uint64(current) > uint64(oldest)+bound
}

// SampleIDOf returns the id of the nth sample of a group, from 0.
func SampleIDOf(g identifier.GroupID, n int) identifier.SampleID {
	return identifier.SampleID(string(g) + "/" + strconv.Itoa(n))
}
