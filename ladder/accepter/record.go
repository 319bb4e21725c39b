package accepter

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A record is a kind byte and one CBOR map with small integer keys. A proposal
// has its document compressed with the base document as the dictionary, so
// that a change of one line takes a few hundred bytes of the log, whatever the
// document's length; the hash of the whole document shows that a reader has
// rebuilt what the operator published.

// Hash is the SHA-256 of a document's canonical JSON.
type Hash [sha256.Size]byte

// String returns the hash's first hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }

// HashOf returns the hash of d.
func HashOf(d validator.Document) (Hash, error) {
	data, err := validator.Encode(d)
	return sha256.Sum256(data), err
}

// Record is one record of the configuration stream: a Proposal or a
// CarryForward.
//
//sumtype:decl
type Record interface{ record() }

// Proposal proposes a document made from a base revision.
type Proposal struct {
	DocumentID   identifier.DocumentID `cbor:"1,keyasint"`
	BaseRevision identifier.Revision   `cbor:"2,keyasint"`
	// Hash is of the proposed document.
	Hash Hash `cbor:"3,keyasint"`
	// Author is the document's: a reader that can't rebuild it knows who.
	Author identifier.OperatorName `cbor:"5,keyasint"`
	// CompressedDocument is the document's JSON, compressed against the base's.
	CompressedDocument []byte `cbor:"4,keyasint"`
}

// Checkpoint says what was accepted in the log before an offset.
type Checkpoint struct {
	Revision identifier.Revision `cbor:"1,keyasint"`
	// NextOffset is the offset after the last record that the state rests on.
	// It is never above the offset of the carry-forward record itself.
	NextOffset identifier.LogOffset `cbor:"2,keyasint"`
	// CompressedDocument is the accepted document's JSON, compressed.
	CompressedDocument []byte `cbor:"3,keyasint"`
	// RecentDocuments is State.RecentDocuments; its last entry is of Document.
	RecentDocuments []AcceptedDocument `cbor:"4,keyasint"`
}

// AcceptedDocument names one accepted document.
type AcceptedDocument struct {
	ID       identifier.DocumentID `cbor:"1,keyasint"`
	Revision identifier.Revision   `cbor:"2,keyasint"`
	Hash     Hash                  `cbor:"3,keyasint"`
}

func (Proposal) record()   {}
func (Checkpoint) record() {}

// The kind bytes of records. They are part of the format.
const (
	kindProposal     = 'p'
	kindCarryForward = 'c'
)

const (
	// maxRecordBytes bounds a record.
	maxRecordBytes = 16 << 20
	// maxElements bounds the lists in a record.
	maxElements = 4096
)

var recordDecoding = func() cbor.DecMode {
	mode, err := encoder.StrictDecoding(maxElements)
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeRecord returns a record's bytes in the log.
func EncodeRecord(r Record) (data []byte, err error) {
	defer annotator.Annotate(&err, "encode record")
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	kind := byte(kindProposal)
	if _, ok := r.(Checkpoint); ok {
		kind = kindCarryForward
	}
	return append([]byte{kind}, body...), nil
}

// DecodeRecord reads a record strictly.
func DecodeRecord(data []byte) (r Record, err error) {
	defer annotator.Annotate(&err, "decode record of %d bytes", len(data))
	if len(data) == 0 || len(data) > maxRecordBytes {
		return nil, errors.New("size out of bounds")
	}
	switch data[0] {
	case kindProposal:
		var p Proposal
		err = recordDecoding.Unmarshal(data[1:], &p)
		return p, err
	case kindCarryForward:
		var c Checkpoint
		err = recordDecoding.Unmarshal(data[1:], &c)
		return c, err
	}
	return nil, errors.Errorf("unknown kind %d", data[0])
}
