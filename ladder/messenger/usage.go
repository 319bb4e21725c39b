package messenger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// UsageQuestion asks for the starts of requests that the peer knows, its own and those that
// it keeps for other hosts, and for its time of day.
type UsageQuestion struct {
	// MinAge and MaxAge bound the ages of the starts.
	MinAge time.Duration `cbor:"1,keyasint,omitempty"`
	MaxAge time.Duration `cbor:"2,keyasint,omitempty"`
}

// UsageAnswer is the response to a UsageQuestion.
type UsageAnswer struct {
	// TimeOfDay is the time since the start of 1970 by the peer's clock, which may be wrong.
	TimeOfDay time.Duration `cbor:"1,keyasint"`
	// Uptime is the time since the peer's process started.
	Uptime time.Duration `cbor:"2,keyasint"`
	// Logs are in no particular order. Several may belong to one incarnation.
	Logs []UsageLog `cbor:"3,keyasint,omitempty"`
}

// UsageLog has starts of requests that one incarnation of a host has recorded.
type UsageLog struct {
	Incarnation identifier.Incarnation `cbor:"1,keyasint"`
	// Accounts are the accounts to which the starts refer.
	Accounts []identifier.AccountName `cbor:"2,keyasint,omitempty"`
	Starts   []UsageStart             `cbor:"3,keyasint,omitempty"`
	// Own is set if the sender has recorded the starts itself. The ages of copies lack the time
	// for which these were under way.
	Own bool `cbor:"4,keyasint,omitempty"`
}

// UsageStart says that a target began to run a request.
type UsageStart struct {
	_ struct{} `cbor:",toarray"`
	// Account is an index into the log's Accounts.
	Account int
	// Sequence numbers the starts of an incarnation.
	Sequence identifier.StartNumber
	// Age is the time since the start; a timestamp would require synchronized clocks.
	Age time.Duration
}
