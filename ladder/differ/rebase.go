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

// Rebase puts the changes from base to mine on top of theirs, the document in
// force at revision. Where a side's items touch the other's it returns the
// clashes and no document. The new document has a fresh id: the old one was
// refused for good.
func Rebase(base, mine, theirs *validator.Document, revision identifier.Revision) (d *validator.Document, clashes []Clash, err error) {
	defer annotator.Annotate(&err, "rebase on revision %d", revision)
	wanted, err := Diff(base, mine)
	if err != nil {
		return nil, nil, err
	}
	done, err := Diff(base, theirs)
	if err != nil {
		return nil, nil, err
	}
	ours, err := itemsOf(mine)
	if err != nil {
		return nil, nil, err
	}
	items, err := itemsOf(theirs)
	if err != nil {
		return nil, nil, err
	}
	for _, c := range wanted {
		i, kept := named(ours[c.Section], c.Name)
		if touches(done, c) {
			if other, ok := named(items[c.Section], c.Name); ok != kept || ok && !other.same(i) {
				clashes = append(clashes, Clash{c.Section, c.Name})
			}
			continue
		}
		items[c.Section] = put(items[c.Section], c, i)
	}
	if len(clashes) > 0 {
		return nil, clashes, nil
	}
	d, err = assemble(items)
	if err != nil {
		return nil, nil, err
	}
	d.Schema, d.ID, d.Base, d.Author = mine.Schema, identifier.NewDocumentID(), revision, mine.Author
	return d, nil, nil
}

func touches(changes []Change, c Change) bool {
	return slices.ContainsFunc(changes, func(other Change) bool {
		return other.Section == c.Section && other.Name == c.Name
	})
}

func put(items []item, c Change, i item) []item {
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

func assemble(items map[string][]item) (*validator.Document, error) {
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
