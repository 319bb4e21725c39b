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

// A record is a kind byte followed by a CBOR map with small integer keys. The
// document of a proposal is compressed with its base document as the
// dictionary, so that a small change takes a few hundred bytes in the log,
// regardless of the size of the document. The hash of the uncompressed
// document lets readers check that they have reconstructed what the operator
// published.

// Hash is the SHA-256 of the canonical JSON of a document.
type Hash [sha256.Size]byte

// String returns the first 12 hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }

// HashOf returns the hash of the canonical JSON of d.
func HashOf(d validator.Document) (Hash, error) {
	data, err := validator.Encode(d)
	return sha256.Sum256(data), err
}

// Record is a record of the configuration stream: a Proposal or a Checkpoint.
//
//sumtype:decl
type Record interface{ record() }

// Proposal proposes a document made from a base revision.
type Proposal struct {
	DocumentID   identifier.DocumentID `cbor:"1,keyasint"`
	BaseRevision identifier.Revision   `cbor:"2,keyasint"`
	// Hash is that of the proposed document.
	Hash Hash `cbor:"3,keyasint"`
	// Author is that of the document. It is repeated here so that the author
	// is known even if the document cannot be decompressed.
	Author identifier.OperatorName `cbor:"5,keyasint"`
	// CompressedDocument is the JSON of the document, compressed with the base
	// document as the dictionary.
	CompressedDocument []byte `cbor:"4,keyasint"`
}

// Checkpoint contains the state accepted in the log before NextOffset, so that
// readers can start after the older records have expired.
type Checkpoint struct {
	Revision identifier.Revision `cbor:"1,keyasint"`
	// NextOffset is the offset after the last record included in the state. It
	// is never greater than the offset of the checkpoint record itself.
	NextOffset identifier.LogOffset `cbor:"2,keyasint"`
	// CompressedDocument is the JSON of the accepted document, compressed.
	CompressedDocument []byte `cbor:"3,keyasint"`
	// RecentDocuments is State.RecentDocuments. Its last item is the document
	// in CompressedDocument.
	RecentDocuments []AcceptedDocument `cbor:"4,keyasint"`
}

// AcceptedDocument identifies an accepted document.
type AcceptedDocument struct {
	ID       identifier.DocumentID `cbor:"1,keyasint"`
	Revision identifier.Revision   `cbor:"2,keyasint"`
	Hash     Hash                  `cbor:"3,keyasint"`
}

func (Proposal) record()   {}
func (Checkpoint) record() {}

// The kind bytes of records. They are part of the log format.
const (
	kindProposal   = 'p'
	kindCheckpoint = 'c'
)

const (
	maxRecordBytes = 16 << 20
	// maxElements limits the length of each list in a record.
	maxElements = 4096
)

var recordDecodeMode = func() cbor.DecMode {
	mode, err := encoder.StrictDecoding(maxElements)
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeRecord returns the encoding of a record in the log.
func EncodeRecord(r Record) (data []byte, err error) {
	defer annotator.Annotate(&err, "encode record")
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	kind := byte(kindProposal)
	if _, ok := r.(Checkpoint); ok {
		kind = kindCheckpoint
	}
	return append([]byte{kind}, body...), nil
}

// DecodeRecord decodes a record. Unknown fields and oversized lists are
// errors.
func DecodeRecord(data []byte) (r Record, err error) {
	defer annotator.Annotate(&err, "decode record of %d bytes", len(data))
	if len(data) == 0 || len(data) > maxRecordBytes {
		return nil, errors.New("size out of bounds")
	}
	switch data[0] {
	case kindProposal:
		var p Proposal
		err = recordDecodeMode.Unmarshal(data[1:], &p)
		return p, err
	case kindCheckpoint:
		var c Checkpoint
		err = recordDecodeMode.Unmarshal(data[1:], &c)
		return c, err
	}
	return nil, errors.Errorf("unknown kind %d", data[0])
}
