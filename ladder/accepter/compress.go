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
	// maxDocumentBytes bounds a document's JSON, also while it is being
	// decompressed.
	maxDocumentBytes = 8 << 20
	// windowBytes is how far back a document may refer, into its base too.
	windowBytes = 8 << 20
	// dictionaryID marks a document compressed against its base.
	dictionaryID = 1
)

// NewProposal returns the proposal of d, made from base; base is nil for the
// first document of all.
func NewProposal(base *validator.Document, d validator.Document) (p Proposal, err error) {
	defer annotator.Annotate(&err, "propose document %s", d.ID)
	data, err := validator.Encode(d)
	if err != nil {
		return p, err
	}
	change, err := compress(base, data)
	return Proposal{DocumentID: d.ID, BaseRevision: d.Base, Hash: sha256.Sum256(data), Author: d.Author, CompressedDocument: change}, err
}

// rebuild returns the proposed document, given the one it was made from.
func (p Proposal) rebuild(base *validator.Document) (d validator.Document, err error) {
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

// Checkpoint returns the record that carries s.
func (s State) Checkpoint() (c Checkpoint, err error) {
	defer annotator.Annotate(&err, "carry revision %d forward", s.Revision)
	if s.Document == nil {
		return c, errors.New("nothing was accepted yet")
	}
	data, err := validator.Encode(*s.Document)
	if err != nil {
		return c, err
	}
	whole, err := compress(nil, data)
	return Checkpoint{Revision: s.Revision, NextOffset: s.NextOffset, CompressedDocument: whole, RecentDocuments: s.RecentDocuments}, err
}

// state checks the record and returns the state that it carries.
func (c Checkpoint) state() (s State, err error) {
	defer annotator.Annotate(&err, "carry-forward of revision %d", c.Revision)
	if c.Revision == 0 || uint64(c.Revision) > uint64(c.NextOffset) || len(c.RecentDocuments) != min(int(c.Revision), maxRecent) {
		return s, errors.New("revision, offset and recent documents don't fit together")
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
		return s, errors.New("document is not the one accepted last")
	}
	if faults := validator.Validate(d); len(faults) > 0 {
		return s, faults
	}
	return State{Revision: c.Revision, Document: &d, NextOffset: c.NextOffset, RecentDocuments: c.RecentDocuments}, nil
}

func compress(base *validator.Document, data []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes)}
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
		zstd.WithDecoderMaxMemory(maxDocumentBytes), zstd.WithDecoderMaxWindow(windowBytes),
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
	whole, err := r.DecodeAll(data, nil)
	if err != nil {
		return d, h, err
	}
	decoder := json.NewDecoder(bytes.NewReader(whole))
	decoder.DisallowUnknownFields()
	return d, sha256.Sum256(whole), decoder.Decode(&d)
}
