package historian

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// maxDocuments bounds the documents kept. One of 474 KB takes about 140 KB
// compressed, so that the shelf stays below 5 MB.
const maxDocuments = 32

// shelf keeps documents compressed.
type shelf struct {
	documents map[identifier.Revision][]byte
	// order has the revisions kept, the oldest first.
	order []identifier.Revision
}

func (s *shelf) put(r identifier.Revision, d *validator.Document) {
	if _, ok := s.documents[r]; ok {
		return
	}
	data, err := validator.Encode(*d)
	if err != nil {
		return
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed) // The level is in range.
	_, _ = w.Write(data)
	_ = w.Close() // A buffer takes everything.
	s.documents[r] = b.Bytes()
	s.order = append(s.order, r)
	if len(s.order) > maxDocuments {
		delete(s.documents, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *shelf) get(r identifier.Revision) *validator.Document {
	data, ok := s.documents[r]
	if !ok {
		return nil
	}
	d := &validator.Document{}
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	if err != nil || json.Unmarshal(plain, d) != nil {
		return nil
	}
	return d
}
