// Package validator holds the configuration document and its checks. The
// console, ladderctl and every reader of the log use the same ones.
package validator

import (
	"encoding/json"
	"fmt"
	"slices"
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

// covers says whether a fault stands at path or at a field around it.
func (f Faults) covers(path string) bool {
	for _, fault := range f {
		rest, ok := strings.CutPrefix(path, fault.Path)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// hides says whether names of the section are unreadable.
func (f Faults) hides(section string) bool {
	return section != "" && slices.ContainsFunc(f, func(fault Fault) bool {
		path := indices.ReplaceAllString(fault.Path, "")
		return path == section || path == section+".name"
	})
}

// Parse reads one JSON document strictly and validates it. Its error is a
// Faults with every fault, those of form first; d then holds what was
// readable.
func Parse(data []byte) (d Document, err error) {
	tree, faults := readTree(data)
	if tree == nil {
		return d, faults
	}
	faults = append(faults, checkForm(tree)...)
	clean, err := json.Marshal(tree)
	if err != nil {
		return d, errors.Wrap(err, "parse document")
	}
	if err := json.Unmarshal(clean, &d); err != nil {
		return d, append(faults, Fault{Path: "document", Value: err.Error(), Allowed: "one JSON document of schema " + SchemaName})
	}
	form := faults
	for _, fault := range Validate(d) {
		if !form.covers(fault.Path) && !form.hides(sectionByReference[fault.Allowed]) {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return d, faults
	}
	return d, nil
}

// Encode returns the document's JSON. Empty lists are written as such: null is
// a fault of form.
func Encode(d Document) ([]byte, error) {
	d.Operators, d.Owners, d.Models = orEmpty(d.Operators), orEmpty(d.Owners), orEmpty(d.Models)
	d.Services, d.Teams, d.Grants = orEmpty(d.Services), orEmpty(d.Teams), orEmpty(d.Grants)
	data, err := json.Marshal(d)
	return data, errors.WithMessage(err, "encode document")
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
