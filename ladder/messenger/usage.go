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

// UsageAnswer is the response to a UsageQuestion. It has tables instead of a log of each host,
// as frames allow four levels.
type UsageAnswer struct {
	// TimeOfDay is the time since the start of 1970 by the peer's clock, which may be wrong.
	TimeOfDay time.Duration `cbor:"1,keyasint"`
	// Uptime is the time since the peer's process started.
	Uptime time.Duration `cbor:"2,keyasint"`
	// Hosts are the hosts that recorded the starts; the peer itself is the first.
	Hosts    []identifier.Incarnation `cbor:"3,keyasint,omitempty"`
	Accounts []identifier.AccountName `cbor:"4,keyasint,omitempty"`
	// Starts are in no particular order.
	Starts []UsageStart `cbor:"5,keyasint,omitempty"`
}

// UsageCopy has starts of requests that the sender has recorded.
type UsageCopy struct {
	Host     identifier.Incarnation   `cbor:"1,keyasint"`
	Accounts []identifier.AccountName `cbor:"2,keyasint,omitempty"`
	Starts   []UsageStart             `cbor:"3,keyasint,omitempty"`
}

// MaxUsageStarts is how many starts one message may have; frames allow 16,384 elements.
const MaxUsageStarts = 16_000

// UsageStart says that a target began to run a request.
type UsageStart struct {
	// Host is an index into the message's hosts, 0 in copies.
	Host int `cbor:"1,keyasint,omitempty"`
	// Account is an index into the message's accounts.
	Account int `cbor:"2,keyasint,omitempty"`
	// Number is that of the start among those of its host.
	Number identifier.StartNumber `cbor:"3,keyasint"`
	// Age is the time since the start; a timestamp would require synchronized clocks.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}
