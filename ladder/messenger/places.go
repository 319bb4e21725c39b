package messenger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// HostDemand is how many places at targets one host uses and wants.
type HostDemand struct {
	Incarnation identifier.Incarnation `cbor:"1,keyasint"`
	// Services are in no particular order. Services of which the host wants nothing are left
	// out.
	Services []ServiceDemand `cbor:"2,keyasint,omitempty"`
	// Own is set if it is the sender's own demand.
	Own bool `cbor:"3,keyasint,omitempty"`
}

// ServiceDemand is the demand of one service.
type ServiceDemand struct {
	Service identifier.ServiceName `cbor:"1,keyasint"`
	Zones   []ZoneUse              `cbor:"2,keyasint,omitempty"`
	// Waiting is how many items wait for a place, and LongestWait how long one of them has.
	Waiting     int           `cbor:"3,keyasint,omitempty"`
	LongestWait time.Duration `cbor:"4,keyasint,omitempty"`
	// WaitingWork is the time that one place would need for the waiting items; 0 if unknown.
	WaitingWork time.Duration `cbor:"5,keyasint,omitempty"`
}

// ZoneUse is how many places are used at the targets of a zone. Calls that wait at a target
// count as well.
type ZoneUse struct {
	Zone  identifier.ZoneName `cbor:"1,keyasint"`
	Items int                 `cbor:"2,keyasint,omitempty"`
	Calls int                 `cbor:"3,keyasint,omitempty"`
}
