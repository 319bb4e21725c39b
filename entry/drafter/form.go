package drafter

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Item is one item as the form shows it.
type Item struct {
	Index  int
	Title  string
	Inputs []Input
	// Faulty is set if any input has a fault.
	Faulty bool
	// Faults are those that stand at no input.
	Faults validator.Faults
}

// Input is one field as the form shows it.
type Input struct {
	Field
	Path  string
	Value string
	// Values are what a choice offers, the present value among them.
	Values []string
	Faults validator.Faults
}

// MaxItemsPerPage bounds the items of one page: with thousands of grants, each with a
// choice of hundreds of teams, a page of all would take tens of megabytes.
const MaxItemsPerPage = 50

// FormItems returns the section's items whose title contains find, and those with
// faults, with their faults; at most MaxItems, the last one among them. found
// counts them all.
func (d *Draft) FormItems(s Section, faults validator.Faults, find string) (items []Item, found int) {
	faulty := places(s, faults)
	var chosen []int
	all := d.items(s)
	for n, fields := range all {
		if faulty[n] || strings.Contains(titleOf(s, n, fields), find) {
			chosen = append(chosen, n)
		}
	}
	found = len(chosen)
	if found > MaxItemsPerPage {
		chosen = append(chosen[:MaxItemsPerPage-1], chosen[found-1])
	}
	for _, n := range chosen {
		items = append(items, d.item(s, n, all[n], faults))
	}
	return items, found
}

// places returns which items of the section have faults.
func places(s Section, faults validator.Faults) map[int]bool {
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

func (d *Draft) item(s Section, n int, fields map[string]any, faults validator.Faults) Item {
	item := Item{Index: n, Title: titleOf(s, n, fields)}
	own := path(s, n, "")
	for _, f := range s.Fields {
		in := Input{Field: f, Path: path(s, n, f.Name), Value: shown(fields[f.Name])}
		in.Faults = at(faults, in.Path)
		in.Values = d.values(f, in.Value)
		item.Inputs = append(item.Inputs, in)
		item.Faulty = item.Faulty || len(in.Faults) > 0
	}
	for _, fault := range faults {
		if strings.HasPrefix(fault.Path, own) && !item.shows(fault) {
			item.Faults, item.Faulty = append(item.Faults, fault), true
		}
	}
	return item
}

func (i Item) shows(fault validator.Fault) bool {
	for _, in := range i.Inputs {
		if len(at(validator.Faults{fault}, in.Path)) > 0 {
			return true
		}
	}
	return false
}

// at returns the faults at the path or below it.
func at(faults validator.Faults, path string) (found validator.Faults) {
	for _, f := range faults {
		rest, ok := strings.CutPrefix(f.Path, path)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			found = append(found, f)
		}
	}
	return found
}

func titleOf(s Section, n int, fields map[string]any) string {
	switch {
	case s.Item == "":
		return s.Title
	case s.Name == "grants" && shown(fields["team"]) != "":
		return shown(fields["team"]) + " → " + shown(fields["service"])
	case shown(fields["name"]) != "":
		return shown(fields["name"])
	}
	return fmt.Sprintf("new %s %d", s.Item, n+1)
}

// values returns what a choice offers.
func (d *Draft) values(f Field, present string) []string {
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
			values = append(values, shown(item["name"]))
		}
	}
	for _, v := range values {
		if v == present {
			return values
		}
	}
	return append(values, present)
}

// shown returns a value as the form shows it.
func shown(value any) string {
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
			lines = append(lines, shown(line))
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
