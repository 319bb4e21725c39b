// Package encoder encodes messages as CBOR frames and decodes them strictly and
// within limits: every deviation is an error.
package encoder

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A frame is a kind byte followed by one CBOR map with small integer keys. The
// kind is outside the CBOR so that an unknown kind is rejected before decoding.

const (
	// MaxFrameBytes limits the size of a frame; longer responses are split into
	// chunks.
	MaxFrameBytes = 4 << 20
	// maxElements limits the size of arrays and maps.
	maxElements = 1 << 14
	// maxNesting limits the depth of a message.
	maxNesting = 4
)

// messageTypes has every message type once; its index is the kind byte. New
// types must be appended.
var messageTypes = []messenger.Message{
	messenger.Hello{},
	messenger.Heartbeat{},
	messenger.Start{},
	messenger.Cancel{},
	messenger.Resume{},
	messenger.Release{},
	messenger.Configuration{},
	messenger.Chunk{},
	messenger.End{},
	messenger.Refused{},
	messenger.Crashed{},
	messenger.Locate{},
	messenger.Located{},
	messenger.Question{},
	messenger.Reply{},
}

// Encoder encodes and decodes frames.
type Encoder struct {
	encoding   cbor.EncMode
	decoding   cbor.DecMode
	kindByType map[reflect.Type]byte
	typeByKind []reflect.Type
}

// New returns an Encoder for all message types.
func New() (e *Encoder, err error) {
	defer annotator.Annotate(&err, "encoder")
	e = &Encoder{kindByType: make(map[reflect.Type]byte)}
	for kind, m := range messageTypes {
		t := reflect.TypeOf(m)
		e.kindByType[t] = byte(kind)
		e.typeByKind = append(e.typeByKind, t)
	}
	if e.encoding, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, err
	}
	e.decoding, err = StrictDecoding(maxElements)
	return e, err
}

// Encode returns the frame of m. It returns messenger.ErrTooLarge if Decode would reject that.
func (e *Encoder) Encode(m messenger.Message) (frame []byte, err error) {
	defer annotator.Annotate(&err, "encode %T", m)
	kind, ok := e.kindByType[reflect.TypeOf(m)]
	if !ok {
		return nil, errors.New("unknown message type")
	}
	body, err := e.encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(body)+1 > MaxFrameBytes {
		return nil, errors.Wrapf(messenger.ErrTooLarge, "frame of %d bytes, limit %d", len(body)+1, MaxFrameBytes)
	}
	if err := e.decoding.Wellformed(body); err != nil {
		return nil, errors.Wrap(messenger.ErrTooLarge, err.Error())
	}
	return append([]byte{kind}, body...), nil
}

// Decode returns the message in a frame. Any deviation from the format is an
// error.
func (e *Encoder) Decode(frame []byte) (m messenger.Message, err error) {
	defer annotator.Annotate(&err, "decode frame of %d bytes", len(frame))
	if len(frame) == 0 || len(frame) > MaxFrameBytes {
		return nil, errors.New("frame size out of bounds")
	}
	if int(frame[0]) >= len(e.typeByKind) {
		return nil, errors.Errorf("unknown message kind %d", frame[0])
	}
	v := reflect.New(e.typeByKind[frame[0]])
	if err := e.decoding.Unmarshal(frame[1:], v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface().(messenger.Message), nil
}

// StrictDecoding returns a CBOR decoding mode that rejects tags, indefinite
// lengths, duplicate keys, unknown fields, nesting deeper than maxNesting, and
// arrays and maps with more than the given number of elements. Text may be other than UTF-8, as
// callers' ids and targets' headers may be.
func StrictDecoding(elements int) (cbor.DecMode, error) {
	return cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  elements,
		MaxMapPairs:       elements,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8DecodeInvalid,
	}.DecMode()
}
