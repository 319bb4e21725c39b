package drafter

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Item is one item of a section in the form.
type Item struct {
	Index  int
	Title  string
	Inputs []Input
	// Faulty is set if the item has any fault.
	Faulty bool
	// Faults are the item's faults that belong to no input.
	Faults validator.Faults
}

// Input is one field of an item in the form.
type Input struct {
	Field
	Path  string
	Value string
	// Values are the options of a choice, including the present value.
	Values []string
	Faults validator.Faults
}

// MaxItemsPerPage limits the items of one page. With thousands of grants, each
// with a choice of hundreds of teams, a page of all items would take tens of
// megabytes.
const MaxItemsPerPage = 50

// FormItems returns the section's items that have faults or whose title contains
// the search text find. It returns at most MaxItemsPerPage items; the last match
// is always one of them, so that an item just added is shown. found is the number
// of all matches.
func (d *Draft) FormItems(s Section, faults validator.Faults, find string) (items []Item, found int) {
	faulty := faultyItems(s, faults)
	var matches []int
	all := d.items(s)
	for n, fields := range all {
		if faulty[n] || strings.Contains(itemTitle(s, n, fields), find) {
			matches = append(matches, n)
		}
	}
	found = len(matches)
	if found > MaxItemsPerPage {
		matches = append(matches[:MaxItemsPerPage-1], matches[found-1])
	}
	for _, n := range matches {
		items = append(items, d.formItem(s, n, all[n], faults))
	}
	return items, found
}

// faultyItems returns the indexes of the section's items that have faults.
func faultyItems(s Section, faults validator.Faults) map[int]bool {
	faulty := make(map[int]bool)
	for _, f := range faults {
		rest, ok := strings.CutPrefix(f.Path, s.Name+"[")
		index, _, closed := strings.Cut(rest, "]")
		if n, err := strconv.Atoi(index); ok && closed && err == nil {
			faulty[n] = true
		}
	}
	return faulty
}

func (d *Draft) formItem(s Section, n int, fields map[string]any, faults validator.Faults) Item {
	item := Item{Index: n, Title: itemTitle(s, n, fields)}
	prefix := fieldPath(s, n, "")
	for _, f := range s.Fields {
		in := Input{Field: f, Path: fieldPath(s, n, f.Name), Value: formValue(fields[f.Name])}
		in.Faults = faultsAt(faults, in.Path)
		in.Values = d.choiceValues(f, in.Value)
		item.Inputs = append(item.Inputs, in)
		item.Faulty = item.Faulty || len(in.Faults) > 0
	}
	for _, fault := range faults {
		if strings.HasPrefix(fault.Path, prefix) && !item.hasInputFor(fault) {
			item.Faults, item.Faulty = append(item.Faults, fault), true
		}
	}
	return item
}

// hasInputFor reports whether one of the item's inputs shows the fault.
func (i Item) hasInputFor(fault validator.Fault) bool {
	for _, in := range i.Inputs {
		if len(faultsAt(validator.Faults{fault}, in.Path)) > 0 {
			return true
		}
	}
	return false
}

// faultsAt returns the faults at the path or below it.
func faultsAt(faults validator.Faults, path string) (found validator.Faults) {
	for _, f := range faults {
		rest, ok := strings.CutPrefix(f.Path, path)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			found = append(found, f)
		}
	}
	return found
}

func itemTitle(s Section, n int, fields map[string]any) string {
	switch {
	case s.Item == "":
		return s.Title
	case s.Name == "grants" && formValue(fields["team"]) != "":
		return formValue(fields["team"]) + " → " + formValue(fields["service"])
	case formValue(fields["name"]) != "":
		return formValue(fields["name"])
	}
	return fmt.Sprintf("new %s %d", s.Item, n+1)
}

// choiceValues returns the options of a choice, including the present value, and
// nil for other kinds of field.
func (d *Draft) choiceValues(f Field, present string) []string {
	if f.Kind != Choice {
		return nil
	}
	var values []string
	if f.Optional {
		values = append(values, "")
	}
	values = append(values, f.Options...)
	if f.From != "" {
		from, _ := SectionByName(f.From)
		for _, item := range d.items(from) {
			values = append(values, formValue(item["name"]))
		}
	}
	for _, v := range values {
		if v == present {
			return values
		}
	}
	return append(values, present)
}

// formValue formats a JSON value as the text of an input.
func formValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		return v.String()
	case []any:
		lines := make([]string, 0, len(v))
		for _, line := range v {
			lines = append(lines, formValue(line))
		}
		return strings.Join(lines, "\n")
	case bool:
		if v {
			return "true"
		}
		return ""
	}
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return ""
	}
	return string(data)
}
