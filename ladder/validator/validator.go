// Package validator defines the configuration document and checks its
// validity. The console, ladderctl and every reader of the log share these
// checks.
package validator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Fault is an error in a document.
type Fault struct {
	// Path is the path of the field, such as teams[2].class.
	Path string `json:"path"`
	// Value is the value in the document.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: allowed: %s", f.Path, f.Value, f.Allowed)
}

// Faults are all faults of a document. It is an error if not empty.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// covers reports whether there is a fault at path or at an enclosing field.
func (f Faults) covers(path string) bool {
	for _, fault := range f {
		rest, ok := strings.CutPrefix(path, fault.Path)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// coversSection reports whether a fault makes names in the section unreadable.
func (f Faults) coversSection(section string) bool {
	return section != "" && slices.ContainsFunc(f, func(fault Fault) bool {
		path := indexPattern.ReplaceAllString(fault.Path, "")
		return path == section || path == section+".name"
	})
}

// Parse decodes one JSON document strictly and validates it. The error is of
// type Faults and contains every fault, structural ones first; d then holds
// the readable parts.
func Parse(data []byte) (d Document, err error) {
	tree, faults := parseTree(data)
	if tree == nil {
		return d, faults
	}
	faults = append(faults, checkStructure(tree)...)
	clean, err := json.Marshal(tree)
	if err != nil {
		return d, errors.Wrap(err, "parse document")
	}
	if err := json.Unmarshal(clean, &d); err != nil {
		return d, append(faults, Fault{Path: "document", Value: err.Error(), Allowed: "one JSON document of schema " + SchemaName})
	}
	structural := faults
	for _, fault := range Validate(d) {
		if !structural.covers(fault.Path) && !structural.coversSection(sectionByReference[fault.Allowed]) {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return d, faults
	}
	return d, nil
}

// Encode returns the JSON of the document. Empty lists are written as [],
// because null is a structural fault.
func Encode(d Document) ([]byte, error) {
	d.Operators, d.Owners, d.Models = nonNil(d.Operators), nonNil(d.Owners), nonNil(d.Models)
	d.Services, d.Teams, d.Grants = nonNil(d.Services), nonNil(d.Teams), nonNil(d.Grants)
	data, err := json.Marshal(d)
	return data, errors.WithMessage(err, "encode document")
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
