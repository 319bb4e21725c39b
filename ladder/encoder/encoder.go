// Package encoder turns messages into CBOR frames and back, in a strict mode
// with limits: what it can't take is an error, never a guess.
package encoder

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A frame is a kind byte and one CBOR map with small integer keys. The kind
// stands outside the CBOR so that an unknown one is refused before decoding.

const (
	// MaxFrameBytes bounds a frame; a longer answer comes in several chunks.
	MaxFrameBytes = 4 << 20
	// maxElements bounds arrays and maps.
	maxElements = 1 << 14
	// maxNesting bounds the depth of a message.
	maxNesting = 4
)

// kinds lists every message once; a message's kind is its place. New ones go
// to the end.
var kinds = []messenger.Message{
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

// New returns an Encoder.
func New() (e *Encoder, err error) {
	defer annotator.Annotate(&err, "encoder")
	e = &Encoder{kindByType: make(map[reflect.Type]byte)}
	for k, m := range kinds {
		t := reflect.TypeOf(m)
		e.kindByType[t] = byte(k)
		e.typeByKind = append(e.typeByKind, t)
	}
	if e.encoding, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, err
	}
	e.decoding, err = StrictDecoding(maxElements)
	return e, err
}

// Encode returns the frame of m.
func (e *Encoder) Encode(m messenger.Message) (frame []byte, err error) {
	defer annotator.Annotate(&err, "encode %T", m)
	kind, ok := e.kindByType[reflect.TypeOf(m)]
	if !ok {
		return nil, errors.New("unknown message")
	}
	body, err := e.encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(body)+1 > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes is over %d", len(body)+1, MaxFrameBytes)
	}
	return append([]byte{kind}, body...), nil
}

// Decode returns the message of a frame. Any deviation is an error.
func (e *Encoder) Decode(frame []byte) (m messenger.Message, err error) {
	defer annotator.Annotate(&err, "decode frame of %d bytes", len(frame))
	if len(frame) == 0 || len(frame) > MaxFrameBytes {
		return nil, errors.New("frame size out of bounds")
	}
	if int(frame[0]) >= len(e.typeByKind) {
		return nil, errors.Errorf("unknown kind %d", frame[0])
	}
	v := reflect.New(e.typeByKind[frame[0]])
	if err := e.decoding.Unmarshal(frame[1:], v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface().(messenger.Message), nil
}

// StrictDecoding returns a mode for CBOR that takes no tags, no indefinite
// lengths, no repeated keys and no unknown fields, lists and maps of at most
// elements entries, and little nesting.
func StrictDecoding(elements int) (cbor.DecMode, error) {
	return cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  elements,
		MaxMapPairs:       elements,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
}
