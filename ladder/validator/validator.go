// Package validator holds the configuration document and its checks. The
// console, ladderctl and every reader of the log use the same ones.
package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path names the field, as in teams[2].class.
	Path string `json:"path"`
	// Value is what the document has there.
	Value string `json:"value"`
	// Allowed says what would be right.
	Allowed string `json:"allowed"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: allowed: %s", f.Path, f.Value, f.Allowed)
}

// Faults is every fault of a document; it is an error when not empty.
type Faults []Fault

// Error returns all the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads one JSON document strictly and validates it. Its error is a
// Faults where the document was readable at all.
func Parse(data []byte) (d Document, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return d, Faults{{Path: "document", Value: err.Error(), Allowed: "one JSON document of schema " + SchemaName}}
	}
	if decoder.More() {
		return d, Faults{{Path: "document", Value: "data after the end", Allowed: "one JSON document"}}
	}
	if faults := Validate(d); len(faults) > 0 {
		return d, faults
	}
	return d, nil
}

// Encode returns the document's JSON.
func Encode(d Document) ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.WithMessage(err, "encode document")
}
