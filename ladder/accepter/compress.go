package accepter

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	// maxDocumentBytes limits the size of a document in JSON, also during
	// decompression.
	maxDocumentBytes = 8 << 20
	// zstdWindowBytes is the maximum distance of back references, including
	// those into the base document.
	zstdWindowBytes = 8 << 20
	// dictionaryID marks documents that are compressed with the base document
	// as the dictionary.
	dictionaryID = 1
)

// NewProposal returns a proposal of d based on the document base, which is nil
// for the first document.
func NewProposal(base *validator.Document, d validator.Document) (p Proposal, err error) {
	defer annotator.Annotate(&err, "propose document %s", d.ID)
	data, err := validator.Encode(d)
	if err != nil {
		return p, err
	}
	change, err := compress(base, data)
	return Proposal{DocumentID: d.ID, BaseRevision: d.Base, Hash: sha256.Sum256(data), Author: d.Author, CompressedDocument: change}, err
}

// decompress returns the proposed document, given its base document.
func (p Proposal) decompress(base *validator.Document) (d validator.Document, err error) {
	defer annotator.Annotate(&err, "rebuild document %s", p.DocumentID)
	d, hash, err := decompress(base, p.CompressedDocument)
	if err != nil {
		return d, err
	}
	if hash != p.Hash {
		return d, errors.Errorf("hash is %s, not %s", hash, p.Hash)
	}
	if d.ID != p.DocumentID || d.Base != p.BaseRevision || d.Author != p.Author {
		return d, errors.New("id, base or author differ from the document's")
	}
	return d, nil
}

// Checkpoint returns the checkpoint of s.
func (s State) Checkpoint() (c Checkpoint, err error) {
	defer annotator.Annotate(&err, "checkpoint revision %d", s.Revision)
	if s.Document == nil {
		return c, errors.New("no document accepted yet")
	}
	data, err := validator.Encode(*s.Document)
	if err != nil {
		return c, err
	}
	uncompressed, err := compress(nil, data)
	return Checkpoint{Revision: s.Revision, NextOffset: s.NextOffset, CompressedDocument: uncompressed, RecentDocuments: s.RecentDocuments}, err
}

// decode validates the checkpoint and returns the state that it contains.
func (c Checkpoint) decode() (s State, err error) {
	defer annotator.Annotate(&err, "decode checkpoint of revision %d", c.Revision)
	if c.Revision == 0 || uint64(c.Revision) > uint64(c.NextOffset) || len(c.RecentDocuments) != min(int(c.Revision), maxRecentDocuments) {
		return s, errors.New("revision, offset and recent documents are inconsistent")
	}
	d, hash, err := decompress(nil, c.CompressedDocument)
	if err != nil {
		return s, err
	}
	for i, r := range c.RecentDocuments {
		if r.Revision != c.Revision-identifier.Revision(len(c.RecentDocuments)-1-i) {
			return s, errors.New("recent revisions are not consecutive")
		}
	}
	if last := c.RecentDocuments[len(c.RecentDocuments)-1]; last.Hash != hash || last.ID != d.ID {
		return s, errors.New("document differs from the last accepted one")
	}
	if faults := validator.Validate(d); len(faults) > 0 {
		return s, faults
	}
	return State{Revision: c.Revision, Document: &d, NextOffset: c.NextOffset, RecentDocuments: c.RecentDocuments}, nil
}

func compress(base *validator.Document, data []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindowBytes)}
	if base != nil {
		dictionary, err := validator.Encode(*base)
		if err != nil {
			return nil, err
		}
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	return w.EncodeAll(data, nil), nil
}

func decompress(base *validator.Document, data []byte) (d validator.Document, h Hash, err error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDocumentBytes), zstd.WithDecoderMaxWindow(zstdWindowBytes),
	}
	if base != nil {
		dictionary, err := validator.Encode(*base)
		if err != nil {
			return d, h, err
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return d, h, err
	}
	defer r.Close()
	uncompressed, err := r.DecodeAll(data, nil)
	if err != nil {
		return d, h, err
	}
	decoder := json.NewDecoder(bytes.NewReader(uncompressed))
	decoder.DisallowUnknownFields()
	return d, sha256.Sum256(uncompressed), decoder.Decode(&d)
}
