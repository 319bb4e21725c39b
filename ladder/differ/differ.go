// Package differ compares documents by named item, and rebases a change made
// from an older revision on the current one.
package differ

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A line-based diff would report a moved team as changed and would not show
// which team a line belongs to. Items are therefore matched by name, and two
// changes conflict if they affect the same item.

// ChangeKind says how an item was changed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the change of one named item.
type Change struct {
	// Section is a field of the document, such as teams.
	Section string `json:"section"`
	// Name is the name of the item. It is "team -> service" for a grant and
	// empty for the limits.
	Name string     `json:"name"`
	Kind ChangeKind `json:"kind"`
	// Fields lists the fields that differ.
	Fields []Field `json:"fields"`
}

// String returns the change as one line, without its fields.
func (c Change) String() string {
	return fmt.Sprintf("%s %s %s", c.Section, c.Name, c.Kind)
}

// Field is a changed field of an item. From is empty if the field was added,
// and To if it was removed.
type Field struct {
	Name string `json:"name"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// sections lists the parts of a document that contain items, and how the items
// are named.
var sections = []struct {
	name   string
	nameOf func(fields map[string]json.RawMessage) string
}{
	{"operators", nameField},
	{"owners", nameField},
	{"models", nameField},
	{"services", nameField},
	{"teams", nameField},
	{"grants", func(f map[string]json.RawMessage) string {
		return valueText(f["team"]) + " -> " + valueText(f["service"])
	}},
	{"limits", func(map[string]json.RawMessage) string { return "" }},
}

func nameField(fields map[string]json.RawMessage) string { return valueText(fields["name"]) }

// item is a named part of a document.
type item struct {
	name   string
	data   json.RawMessage
	fields map[string]json.RawMessage
}

func (i item) equal(other item) bool { return bytes.Equal(i.data, other.data) }

// itemsBySection returns the items of a document by section, in the order of
// the document.
func itemsBySection(d *validator.Document) (items map[string][]item, err error) {
	defer annotator.Annotate(&err, "compare document %s", d.ID)
	data, err := validator.Encode(*d)
	if err != nil {
		return nil, err
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, err
	}
	items = make(map[string][]item, len(sections))
	for _, s := range sections {
		list := []json.RawMessage{parts[s.name]}
		if s.name != "limits" {
			if err := json.Unmarshal(parts[s.name], &list); err != nil {
				return nil, errors.WithMessage(err, s.name)
			}
		}
		for _, data := range list {
			i := item{data: data}
			if err := json.Unmarshal(data, &i.fields); err != nil {
				return nil, errors.WithMessage(err, s.name)
			}
			i.name = s.nameOf(i.fields)
			items[s.name] = append(items[s.name], i)
		}
	}
	return items, nil
}

// Diff returns the changes from one document to another by section, in the
// order of to, with removed items last. If from is nil, it is treated as an
// empty document.
func Diff(from, to *validator.Document) (changes []Change, err error) {
	if from == nil {
		from = &validator.Document{}
	}
	before, err := itemsBySection(from)
	if err != nil {
		return nil, err
	}
	after, err := itemsBySection(to)
	if err != nil {
		return nil, err
	}
	for _, s := range sections {
		for _, i := range after[s.name] {
			old, ok := findItem(before[s.name], i.name)
			switch {
			case !ok:
				changes = append(changes, Change{s.name, i.name, Added, diffFields(nil, i.fields)})
			case !old.equal(i):
				changes = append(changes, Change{s.name, i.name, Changed, diffFields(old.fields, i.fields)})
			}
		}
		for _, i := range before[s.name] {
			if _, ok := findItem(after[s.name], i.name); !ok {
				changes = append(changes, Change{s.name, i.name, Removed, diffFields(i.fields, nil)})
			}
		}
	}
	return changes, nil
}

func findItem(items []item, name string) (item, bool) {
	n := slices.IndexFunc(items, func(i item) bool { return i.name == name })
	if n < 0 {
		return item{}, false
	}
	return items[n], true
}

// diffFields returns the fields that differ, sorted by name.
func diffFields(from, to map[string]json.RawMessage) (fields []Field) {
	names := make([]string, 0, len(from)+len(to))
	for name := range from {
		names = append(names, name)
	}
	for name := range to {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if a, b := valueText(from[name]), valueText(to[name]); a != b {
			fields = append(fields, Field{Name: name, From: a, To: b})
		}
	}
	return fields
}

// valueText returns a JSON value as text, strings without quotes.
func valueText(data json.RawMessage) string {
	var s string
	if json.Unmarshal(data, &s) == nil {
		return s
	}
	return string(data)
}
