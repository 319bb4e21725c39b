// Package differ compares documents by named item, and puts a change made from
// an older revision on top of the current one.
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

// A difference of text lines would call a moved team a change and hide which
// team a line belongs to. Items are therefore matched by name, and two changes
// touch when they are about the same item.

// ChangeKind is what became of an item.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is what became of one named item.
type Change struct {
	// Section is a field of the document, such as teams.
	Section string `json:"section"`
	// Name is the item's; of a grant "team -> service"; "" for the limits.
	Name string     `json:"name"`
	Kind ChangeKind `json:"kind"`
	// Fields lists what is different; for a changed item only what changed.
	Fields []Field `json:"fields"`
}

// String returns the change on one line, without its fields.
func (c Change) String() string {
	return fmt.Sprintf("%s %s %s", c.Section, c.Name, c.Kind)
}

// Field is one field of an item; From or To is "" where there is none.
type Field struct {
	Name string `json:"name"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// sections lists every part of a document with items, and how an item is
// named.
var sections = []struct {
	name   string
	nameOf func(fields map[string]json.RawMessage) string
}{
	{"operators", plainName},
	{"owners", plainName},
	{"models", plainName},
	{"services", plainName},
	{"teams", plainName},
	{"grants", func(f map[string]json.RawMessage) string { return text(f["team"]) + " -> " + text(f["service"]) }},
	{"limits", func(map[string]json.RawMessage) string { return "" }},
}

func plainName(fields map[string]json.RawMessage) string { return text(fields["name"]) }

// item is one named part of a document.
type item struct {
	name   string
	data   json.RawMessage
	fields map[string]json.RawMessage
}

func (i item) same(other item) bool { return bytes.Equal(i.data, other.data) }

// itemsOf returns a document's items by section, in the document's order.
func itemsOf(d *validator.Document) (items map[string][]item, err error) {
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

// Diff returns what is different in to, by section, in the order of to, the
// removed items last. A nil from is an empty document.
func Diff(from, to *validator.Document) (changes []Change, err error) {
	if from == nil {
		from = &validator.Document{}
	}
	before, err := itemsOf(from)
	if err != nil {
		return nil, err
	}
	after, err := itemsOf(to)
	if err != nil {
		return nil, err
	}
	for _, s := range sections {
		for _, i := range after[s.name] {
			old, ok := named(before[s.name], i.name)
			switch {
			case !ok:
				changes = append(changes, Change{s.name, i.name, Added, fieldsBetween(nil, i.fields)})
			case !old.same(i):
				changes = append(changes, Change{s.name, i.name, Changed, fieldsBetween(old.fields, i.fields)})
			}
		}
		for _, i := range before[s.name] {
			if _, ok := named(after[s.name], i.name); !ok {
				changes = append(changes, Change{s.name, i.name, Removed, fieldsBetween(i.fields, nil)})
			}
		}
	}
	return changes, nil
}

func named(items []item, name string) (item, bool) {
	n := slices.IndexFunc(items, func(i item) bool { return i.name == name })
	if n < 0 {
		return item{}, false
	}
	return items[n], true
}

// fieldsBetween lists the fields that differ, by name.
func fieldsBetween(from, to map[string]json.RawMessage) (fields []Field) {
	names := make([]string, 0, len(from)+len(to))
	for name := range from {
		names = append(names, name)
	}
	for name := range to {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if a, b := text(from[name]), text(to[name]); a != b {
			fields = append(fields, Field{Name: name, From: a, To: b})
		}
	}
	return fields
}

// text shows a JSON value; a string without its quotes.
func text(data json.RawMessage) string {
	var s string
	if json.Unmarshal(data, &s) == nil {
		return s
	}
	return string(data)
}
