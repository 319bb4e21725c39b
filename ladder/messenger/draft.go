package messenger

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// DraftCall requests the texts that a peer has of unfinished items of a model,
// from jobs that have ended and from Job. Items of Job that the peer still runs
// without owning the job are cancelled and included.
type DraftCall struct {
	Model identifier.ModelName `cbor:"1,keyasint"`
	Job   identifier.JobID     `cbor:"2,keyasint"`
}

// Draft is the text of an item as far as it was generated.
type Draft struct {
	Item identifier.ItemID `cbor:"1,keyasint"`
	// Prompt is the fingerprint of the prompt.
	Prompt identifier.Fingerprint `cbor:"2,keyasint"`
	// Text has the data of the events up to LastEvent, separated by line feeds.
	Text []byte `cbor:"3,keyasint"`
	// LastEvent is the number of the last event; it is unknown for a complete
	// text.
	LastEvent identifier.EventNumber `cbor:"4,keyasint,omitempty"`
	Complete  bool                   `cbor:"5,keyasint,omitempty"`
	// Versions has every weight version that generated an event of the text, in
	// ascending order.
	Versions []identifier.WeightVersion `cbor:"6,keyasint"`
	// Software is the version of the software that generated the text. Only targets of
	// the same version may continue it.
	Software identifier.SoftwareVersion `cbor:"7,keyasint,omitempty"`
	// UnlistedTarget and UnlistedStartID are the start that generated the text, if it had not been
	// listed yet. Software is a name that no target has then.
	UnlistedTarget  identifier.TargetName `cbor:"9,keyasint,omitempty"`
	UnlistedStartID int64                 `cbor:"10,keyasint,omitempty"`
	// Account is that of the job; only jobs of the same account use the text.
	Account identifier.AccountName `cbor:"8,keyasint,omitempty"`
}
