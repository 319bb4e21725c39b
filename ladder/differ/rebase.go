package differ

import (
	"encoding/json"
	"slices"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Clash is an item that both sides changed in different ways.
type Clash struct {
	Section string `json:"section"`
	Name    string `json:"name"`
}

// Rebase applies the changes from base to mine on top of theirs, the document
// in force at revision. If both sides changed an item in different ways, it
// returns the clashes and no document. The new document gets a new id, because
// the verdict on the old one is final.
func Rebase(base, mine, theirs *validator.Document, revision identifier.Revision) (d *validator.Document, clashes []Clash, err error) {
	defer annotator.Annotate(&err, "rebase on revision %d", revision)
	myChanges, err := Diff(base, mine)
	if err != nil {
		return nil, nil, err
	}
	theirChanges, err := Diff(base, theirs)
	if err != nil {
		return nil, nil, err
	}
	myItems, err := itemsBySection(mine)
	if err != nil {
		return nil, nil, err
	}
	items, err := itemsBySection(theirs)
	if err != nil {
		return nil, nil, err
	}
	for _, c := range myChanges {
		i, kept := findItem(myItems[c.Section], c.Name)
		if containsItem(theirChanges, c) {
			if other, ok := findItem(items[c.Section], c.Name); ok != kept || ok && !other.equal(i) {
				clashes = append(clashes, Clash{c.Section, c.Name})
			}
			continue
		}
		items[c.Section] = applyChange(items[c.Section], c, i)
	}
	if len(clashes) > 0 {
		return nil, clashes, nil
	}
	d, err = buildDocument(items)
	if err != nil {
		return nil, nil, err
	}
	d.Schema, d.ID, d.Base, d.Author = mine.Schema, identifier.NewDocumentID(), revision, mine.Author
	return d, nil, nil
}

func containsItem(changes []Change, c Change) bool {
	return slices.ContainsFunc(changes, func(other Change) bool {
		return other.Section == c.Section && other.Name == c.Name
	})
}

func applyChange(items []item, c Change, i item) []item {
	at := slices.IndexFunc(items, func(other item) bool { return other.name == c.Name })
	switch c.Kind {
	case Added:
		return append(items, i)
	case Changed:
		items[at] = i
	case Removed:
		return slices.Delete(items, at, at+1)
	}
	return items
}

func buildDocument(items map[string][]item) (*validator.Document, error) {
	parts := make(map[string]any, len(sections))
	for _, s := range sections {
		list := make([]json.RawMessage, 0, len(items[s.name]))
		for _, i := range items[s.name] {
			list = append(list, i.data)
		}
		parts[s.name] = list
		if s.name == "limits" {
			parts[s.name] = list[0]
		}
	}
	data, err := json.Marshal(parts)
	if err != nil {
		return nil, err
	}
	d := &validator.Document{}
	return d, json.Unmarshal(data, d)
}
