package sender

import (
	"io"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Events reads the events of a response's body.
type Events interface {
	// Next returns io.EOF only after the last event of a complete response.
	Next() (Event, error)
}

// ErrNoEvents means that a target has ended a stream before its first event.
var ErrNoEvents = errors.New("stream without events")

// Numbering says which events may follow another one.
type Numbering int

const (
	// Consecutive events follow each other without a gap, as in streams that may go on at
	// another target.
	Consecutive Numbering = iota
	// Ascending events may leave numbers out.
	Ascending
)

// orderedEvents fails at an event that doesn't follow the last one.
type orderedEvents struct {
	Events
	// last is the last event that the stream has had, 0 if none.
	last      identifier.EventNumber
	numbering Numbering
}

// CheckOrder returns the events of a stream that has had the events up to after. It fails at
// an event that does not follow the last one, and with ErrNoEvents at the end of a stream that
// has had none.
func CheckOrder(events Events, after identifier.EventNumber, n Numbering) Events {
	return &orderedEvents{Events: events, last: after, numbering: n}
}

// Next implements Events.
func (o *orderedEvents) Next() (Event, error) {
	e, err := o.Events.Next()
	switch {
	case errors.Is(err, io.EOF) && o.last == 0:
		return e, ErrNoEvents
	case err != nil:
		return e, err
	case e.Number != o.last+1 && (o.numbering == Consecutive || e.Number <= o.last):
		return e, errors.Errorf("received event %d after event %d", e.Number, o.last)
	}
	o.last = e.Number
	return e, nil
}
