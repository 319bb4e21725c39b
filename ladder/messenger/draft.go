package messenger

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// DraftCall asks a peer for the texts that it has of unfinished items of a model,
// from jobs that have ended and from Job. What the peer still runs of Job without
// owning it is broken off and told.
type DraftCall struct {
	Model identifier.ModelName `cbor:"1,keyasint"`
	Job   identifier.JobID     `cbor:"2,keyasint"`
}

// Draft is the text of an item as far as it was made.
type Draft struct {
	Item identifier.ItemID `cbor:"1,keyasint"`
	// Prompt is of what the text answers.
	Prompt identifier.Fingerprint `cbor:"2,keyasint"`
	// Text has the data of the events up to Last, separated by line feeds.
	Text []byte `cbor:"3,keyasint"`
	// LastEvent is the number of the last event; it isn't known of a whole text.
	LastEvent identifier.EventNumber `cbor:"4,keyasint,omitempty"`
	Complete  bool                   `cbor:"5,keyasint,omitempty"`
	// Versions are all that generated an event of the text, in rising order.
	Versions []identifier.WeightVersion `cbor:"6,keyasint"`
}
