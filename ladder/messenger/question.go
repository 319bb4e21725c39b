package messenger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// StoreCall asks a peer to forward a call to the platform's store. Its contents
// are opaque to the peer.
type StoreCall struct {
	Method string `cbor:"1,keyasint"`
	// URI is the path and query.
	URI  string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

// StoreOutcome is the outcome of a StoreCall.
type StoreOutcome string

// Outcomes of a StoreCall.
const (
	// StoreAnswered: the store responded.
	StoreAnswered StoreOutcome = "answered"
	// StoreUnavailable: the call had no effect.
	StoreUnavailable StoreOutcome = "unavailable"
	// StoreAnswerLost: the call may take effect.
	StoreAnswerLost StoreOutcome = "answer-lost"
)

// StoreAnswer is the response to a StoreCall.
type StoreAnswer struct {
	Outcome StoreOutcome `cbor:"1,keyasint"`
	Status  int          `cbor:"2,keyasint,omitempty"`
	Body    []byte       `cbor:"3,keyasint,omitempty"`
}

// Question is a request from one entry to another. Exactly one of its parts is
// set.
type Question struct {
	// ID identifies the question on its link.
	ID    uint64     `cbor:"1,keyasint"`
	Job   *JobCall   `cbor:"2,keyasint,omitempty"`
	Store *StoreCall `cbor:"3,keyasint,omitempty"`
	// Demand requests the amount of work that the peer has.
	Demand bool        `cbor:"4,keyasint,omitempty"`
	Drafts *DraftCall  `cbor:"5,keyasint,omitempty"`
	Permit *PermitCall `cbor:"6,keyasint,omitempty"`
	// Limits requests the limits of targets that the peer knows.
	Limits bool `cbor:"7,keyasint,omitempty"`
	// RecordOrigin asks the peer to keep the origin of a stream.
	RecordOrigin *StreamOrigin `cbor:"8,keyasint,omitempty"`
	// FindOrigin asks for the origin of a stream.
	FindOrigin identifier.StreamID `cbor:"9,keyasint,omitempty"`
	// Announcement tells the peer which targets leave.
	Announcement *Announcement `cbor:"10,keyasint,omitempty"`
	// Departures asks for the targets that said within that time that they leave.
	Departures time.Duration `cbor:"11,keyasint,omitempty"`
	// ArchiveOrigin asks the peer to write the origin of a stream to the store.
	ArchiveOrigin *StreamOrigin `cbor:"12,keyasint,omitempty"`
	// FindArchived asks for the origin of a stream according to the store.
	FindArchived identifier.StreamID `cbor:"13,keyasint,omitempty"`
	// Corrects says that ArchiveOrigin replaces what was written before for the same stream.
	Corrects bool `cbor:"14,keyasint,omitempty"`
	// Usage asks for starts of requests.
	Usage *UsageQuestion `cbor:"15,keyasint,omitempty"`
	// UsageCopy asks the peer to keep starts of requests for the sender.
	UsageCopy *UsageCopy `cbor:"16,keyasint,omitempty"`
	// Places asks for the demand of places that the peer knows.
	Places bool `cbor:"17,keyasint,omitempty"`
	// PlacesCopy asks the peer to keep the sender's demand of places.
	PlacesCopy *PlacesCopy `cbor:"18,keyasint,omitempty"`
}

// Reply is the response to the Question with the same ID. No part is set if the
// peer does not support the question, or if its reply would be too large.
type Reply struct {
	ID    uint64       `cbor:"1,keyasint"`
	Job   *JobAnswer   `cbor:"2,keyasint,omitempty"`
	Store *StoreAnswer `cbor:"3,keyasint,omitempty"`
	// Demand has the tokens of the jobs that the peer works on, by model.
	Demand map[identifier.ModelName]identifier.TokenCount `cbor:"4,keyasint,omitempty"`
	// Drafts are the requested drafts that the peer has, in no particular
	// order.
	Drafts []Draft       `cbor:"5,keyasint,omitempty"`
	Permit *PermitAnswer `cbor:"6,keyasint,omitempty"`
	// Limits are the limits in force that the peer knows, in no particular order.
	Limits []TargetLimit `cbor:"7,keyasint,omitempty"`
	// Origin is nil if the peer doesn't know the stream.
	Origin *StreamOrigin `cbor:"8,keyasint,omitempty"`
	// Archived means that the store has the origin, or that it was looked up there.
	Archived bool `cbor:"10,keyasint,omitempty"`
	// Departures are the targets that leave, in no particular order.
	Departures []Departure  `cbor:"9,keyasint,omitempty"`
	Usage      *UsageAnswer `cbor:"11,keyasint,omitempty"`
	// Kept means that the peer keeps what a copy contained.
	Kept   bool          `cbor:"12,keyasint,omitempty"`
	Places *PlacesAnswer `cbor:"13,keyasint,omitempty"`
	// NotArchived means that the store doesn't have the origin and has refused to take it.
	NotArchived bool `cbor:"14,keyasint,omitempty"`
}

// Announcement says which targets leave.
type Announcement struct {
	Departures []Departure `cbor:"1,keyasint,omitempty"`
	// PassOn asks the peer to tell all others what it didn't know.
	PassOn bool `cbor:"2,keyasint,omitempty"`
}

// Departure says that an incarnation of a target leaves.
type Departure struct {
	Target identifier.TargetName `cbor:"1,keyasint"`
	// StartID distinguishes incarnations with the same name.
	StartID int64 `cbor:"2,keyasint"`
	// Age is the time since the target said so.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// StreamOrigin says where a stream began: what is certain of the start of the target that wrote its
// first event.
type StreamOrigin struct {
	Stream  identifier.StreamID    `cbor:"1,keyasint"`
	Service identifier.ServiceName `cbor:"2,keyasint"`
	// Software is the start's software version; while it is unlisted, a name that no target has.
	Software identifier.SoftwareVersion `cbor:"3,keyasint,omitempty"`
	// Target and StartID are the start. StartID is 0 if the target doesn't name its starts, or has
	// not said which one responds. Origins of former builds have none.
	Target  identifier.TargetName `cbor:"4,keyasint,omitempty"`
	StartID int64                 `cbor:"5,keyasint,omitempty"`
	// Unlisted is set if the start had not been listed yet, so that its version is unknown.
	Unlisted bool `cbor:"6,keyasint,omitempty"`
	// Anew counts the runs of the stream that were given up before their first event was passed
	// on. Of two origins of a stream, the one with the higher count is the newer one.
	Anew uint32 `cbor:"7,keyasint,omitempty"`
}

// RequestLimit is the newest limit of a target that the sender has heard of.
type RequestLimit struct {
	Limited bool                   `cbor:"1,keyasint,omitempty"`
	Rate    identifier.RequestRate `cbor:"2,keyasint,omitempty"`
	// Age is the time since the target said so; a timestamp would require
	// synchronized clocks.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// TargetLimit is the limit of one target.
type TargetLimit struct {
	Target identifier.TargetName `cbor:"1,keyasint"`
	// StartID distinguishes incarnations with the same name.
	StartID int64        `cbor:"2,keyasint"`
	Limit   RequestLimit `cbor:"3,keyasint"`
}

// PermitCall asks for a permit to send one request to a target that limits them. If Limit
// is not in force, it only tells so.
type PermitCall struct {
	Target TargetLimit `cbor:"1,keyasint"`
	// Charge is set if the request is sent in any case.
	Charge bool `cbor:"2,keyasint,omitempty"`
}

// PermitAnswer is the response to a PermitCall.
type PermitAnswer struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Wait is how long not to ask again if no permit was granted.
	Wait  time.Duration `cbor:"2,keyasint,omitempty"`
	Limit RequestLimit  `cbor:"3,keyasint"`
}
