package messenger

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// StoreCall asks a peer to make a call to the platform's store. It is opaque to
// the product.
type StoreCall struct {
	Method string `cbor:"1,keyasint"`
	// URI is the path and query.
	URI  string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

// StoreOutcome is how a StoreCall ended.
type StoreOutcome string

// The verdicts.
const (
	// StoreAnswered has the store's own answer.
	StoreAnswered StoreOutcome = "answered"
	// StoreUnavailable says that nothing was done.
	StoreUnavailable StoreOutcome = "unavailable"
	// StoreAnswerLost says that the call may take effect.
	StoreAnswerLost StoreOutcome = "answer-lost"
)

// StoreAnswer answers a StoreCall.
type StoreAnswer struct {
	Outcome StoreOutcome `cbor:"1,keyasint"`
	Status  int          `cbor:"2,keyasint,omitempty"`
	Body    []byte       `cbor:"3,keyasint,omitempty"`
}

// Question is what one entry asks another; one of its parts is there.
type Question struct {
	// ID tells the questions of one link apart.
	ID    uint64     `cbor:"1,keyasint"`
	Job   *JobCall   `cbor:"2,keyasint,omitempty"`
	Store *StoreCall `cbor:"3,keyasint,omitempty"`
	// Demand asks how much work the peer has.
	Demand bool       `cbor:"4,keyasint,omitempty"`
	Drafts *DraftCall `cbor:"5,keyasint,omitempty"`
}

// Reply answers the Question with its Number. Neither part is there if the
// peer doesn't know the question.
type Reply struct {
	ID    uint64       `cbor:"1,keyasint"`
	Job   *JobAnswer   `cbor:"2,keyasint,omitempty"`
	Store *StoreAnswer `cbor:"3,keyasint,omitempty"`
	// Demand counts the tokens of the jobs that the peer works on, by model.
	Demand map[identifier.ModelName]identifier.TokenCount `cbor:"4,keyasint,omitempty"`
	// Drafts are those that the peer has of what was asked for, in no order.
	Drafts []Draft `cbor:"5,keyasint,omitempty"`
}
