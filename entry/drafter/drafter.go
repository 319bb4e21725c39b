// Package drafter edits a document through the console's forms. A draft may be
// invalid in any way: it keeps the input exactly as it was typed.
package drafter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A draft is a JSON tree rather than a Document, since a Document can't hold a
// mistyped number. The page carries the draft, so that the entry keeps no state.
// Form fields are named by their path in the document, as validation faults are.

// Draft is a document that is being edited.
type Draft struct {
	// tree is the decoded JSON of the document, with numbers as json.Number.
	tree map[string]any
}

// New returns a draft based on the document in force.
func New(d validator.Document, base identifier.Revision, author identifier.OperatorName) (*Draft, error) {
	d.ID, d.Base, d.Author = identifier.NewDocumentID(), base, author
	data, err := validator.Encode(d)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Parse decodes the draft that a page carried.
func Parse(data []byte) (draft *Draft, err error) {
	defer annotator.Annotate(&err, "read draft")
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	draft = &Draft{}
	if err := decoder.Decode(&draft.tree); err != nil {
		return nil, err
	}
	if draft.tree == nil {
		return nil, errors.New("not an object")
	}
	return draft, nil
}

// JSON encodes the draft for the page and for publishing.
func (d *Draft) JSON() string {
	data, err := json.MarshalIndent(d.tree, "", " ")
	if err != nil {
		return "{}"
	}
	return string(data)
}

// Document decodes the draft into a document and returns all its faults.
func (d *Draft) Document() (document validator.Document, faults validator.Faults) {
	document, err := validator.Parse([]byte(d.JSON()))
	if err != nil && !errors.As(err, &faults) {
		faults = validator.Faults{{Path: "document", Value: err.Error(), Allowed: "a document"}}
	}
	return document, faults
}

// items returns the section's items. A section without a list, such as the limits,
// counts as one item.
func (d *Draft) items(s Section) []map[string]any {
	if s.Item == "" {
		item, ok := d.tree[s.Name].(map[string]any)
		if !ok {
			item = make(map[string]any)
			d.tree[s.Name] = item
		}
		return []map[string]any{item}
	}
	list, _ := d.tree[s.Name].([]any)
	items := make([]map[string]any, 0, len(list))
	for i := range list {
		item, ok := list[i].(map[string]any)
		if !ok {
			item = make(map[string]any)
			list[i] = item
		}
		items = append(items, item)
	}
	return items
}

// fieldPath returns the document path of a field of the nth item.
func fieldPath(s Section, n int, field string) string {
	if s.Item == "" {
		return s.Name + "." + field
	}
	return fmt.Sprintf("%s[%d].%s", s.Name, n, field)
}

// ApplyForm stores a form's values for the section in the draft. value returns
// the form's value at a path and whether the form has one.
func (d *Draft) ApplyForm(s Section, value func(path string) (string, bool)) {
	for n, item := range d.items(s) {
		onPage := slices.ContainsFunc(s.Fields, func(f Field) bool { _, ok := value(fieldPath(s, n, f.Name)); return ok })
		if !onPage {
			continue // An unchecked box is missing from a form too, so only items on the page may change.
		}
		for _, f := range s.Fields {
			text, ok := value(fieldPath(s, n, f.Name))
			if !ok && f.Kind != Checkbox {
				continue
			}
			setField(item, f, strings.TrimSpace(text))
		}
	}
}

func setField(item map[string]any, f Field, text string) {
	if text == "" && (f.Optional || f.Kind == Checkbox) {
		delete(item, f.Name)
		return
	}
	switch f.Kind {
	case Text, Choice:
		item[f.Name] = text
	case Number:
		item[f.Name] = parseNumber(text)
	case Checkbox:
		item[f.Name] = true
	case Lines:
		item[f.Name] = splitLines(text)
	case Object:
		item[f.Name] = parseObject(text)
	}
}

// parseNumber returns a json.Number, or the text itself if it isn't a number.
func parseNumber(text string) any {
	var n json.Number
	if json.Unmarshal([]byte(text), &n) == nil && !strings.HasPrefix(text, `"`) {
		return n
	}
	return text
}

func splitLines(text string) []any {
	lines := []any{}
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// parseObject returns a JSON object, or the text itself if it isn't one.
func parseObject(text string) any {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	var object map[string]any
	if decoder.Decode(&object) == nil {
		return object
	}
	return text
}

// AddItem appends an empty item to the section.
func (d *Draft) AddItem(s Section) {
	item := make(map[string]any)
	for _, f := range s.Fields {
		switch {
		case f.Initial != "":
			setField(item, f, f.Initial)
		case !f.Optional && f.Kind == Lines:
			item[f.Name] = []any{}
		case !f.Optional && f.Kind != Checkbox:
			item[f.Name] = ""
		}
	}
	list, _ := d.tree[s.Name].([]any)
	d.tree[s.Name] = append(list, item)
}

// RemoveItem takes the nth item out of the section.
func (d *Draft) RemoveItem(s Section, n int) {
	list, _ := d.tree[s.Name].([]any)
	if n >= 0 && n < len(list) {
		d.tree[s.Name] = slices.Delete(list, n, n+1)
	}
}

// NewKey generates a key for the nth item and stores its hash in the draft. The
// key itself is not stored anywhere.
func (d *Draft) NewKey(s Section, n int) (key string) {
	items := d.items(s)
	if !s.Keys || n < 0 || n >= len(items) {
		return ""
	}
	key = authorizer.NewKey()
	hash := authorizer.HashKey(key)
	if s.Name == "operators" {
		items[n]["key-hash"] = hash
		return key
	}
	hashes, _ := items[n]["key-hashes"].([]any)
	items[n]["key-hashes"] = append(hashes, hash)
	return key
}
