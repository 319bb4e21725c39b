package historian

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// maxDocuments bounds the number of cached documents. A document of 474 KB takes about
// 140 KB compressed, so the cache stays below 5 MB.
const maxDocuments = 32

// documentCache holds compressed documents.
type documentCache struct {
	documents map[identifier.Revision][]byte
	// order lists the cached revisions, oldest first.
	order []identifier.Revision
}

func (c *documentCache) put(r identifier.Revision, d *validator.Document) {
	if _, ok := c.documents[r]; ok {
		return
	}
	data, err := validator.Encode(*d)
	if err != nil {
		return
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed) // The level is valid.
	_, _ = w.Write(data)
	_ = w.Close() // Writes to a buffer never fail.
	c.documents[r] = b.Bytes()
	c.order = append(c.order, r)
	if len(c.order) > maxDocuments {
		delete(c.documents, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *documentCache) get(r identifier.Revision) *validator.Document {
	data, ok := c.documents[r]
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
