package messenger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// PlacesCopy is the sender's demand of places at targets.
type PlacesCopy struct {
	Host    identifier.Incarnation `cbor:"1,keyasint"`
	Demands []PlaceDemand          `cbor:"2,keyasint,omitempty"`
}

// PlacesAnswer has the peer's demand of places and those that it keeps for other hosts.
type PlacesAnswer struct {
	// Hosts are the hosts that have the demand; the peer itself is the first.
	Hosts   []identifier.Incarnation `cbor:"1,keyasint,omitempty"`
	Demands []PlaceDemand            `cbor:"2,keyasint,omitempty"`
}

// PlaceDemand is what one host uses of the targets of a service in a zone or, if the zone is
// empty, what of its work waits for a place anywhere.
type PlaceDemand struct {
	// Host is an index into the message's hosts, 0 in copies.
	Host    int                    `cbor:"1,keyasint,omitempty"`
	Service identifier.ServiceName `cbor:"2,keyasint"`
	Zone    identifier.ZoneName    `cbor:"3,keyasint,omitempty"`
	// Items and Calls are the places in use; calls that wait at a target count as well.
	Items int `cbor:"4,keyasint,omitempty"`
	Calls int `cbor:"5,keyasint,omitempty"`
	// Waiting is how many items wait for a place, and LongestWait how long one of them has.
	Waiting     int           `cbor:"6,keyasint,omitempty"`
	LongestWait time.Duration `cbor:"7,keyasint,omitempty"`
	// WaitingWork is the time that one place would need for the waiting items; 0 if unknown.
	WaitingWork time.Duration `cbor:"8,keyasint,omitempty"`
}
