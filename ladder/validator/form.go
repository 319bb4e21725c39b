package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The standard decoder stops at the first unknown field or wrong type, takes
// names in any case, null for anything, a repeated name silently and a missing
// one as zero. The form of a document is therefore checked on the JSON tree
// against the Go types, so that all such faults come at once, with their paths.

// maxDepth is above the depth of any valid document.
const maxDepth = 16

// maxValueShown is how much of a faulty value a fault repeats, in bytes.
const maxValueShown = 80

// readTree returns the document as a tree of maps, slices and leaves, nil if
// it is no JSON object.
func readTree(data []byte) (tree map[string]any, faults Faults) {
	r := &treeReader{decoder: json.NewDecoder(bytes.NewReader(data))}
	r.decoder.UseNumber()
	value, err := r.value("", 0)
	const allowed = "one JSON object of schema " + SchemaName
	if err != nil {
		return nil, Faults{{Path: "document", Value: err.Error(), Allowed: allowed}}
	}
	if _, err := r.decoder.Token(); err != io.EOF {
		r.faults = append(r.faults, Fault{Path: "document", Value: "data after the end", Allowed: "one JSON object"})
	}
	tree, ok := value.(map[string]any)
	if !ok {
		return nil, Faults{{Path: "document", Value: shown(value), Allowed: allowed}}
	}
	return tree, r.faults
}

type treeReader struct {
	decoder *json.Decoder
	faults  Faults
}

func (r *treeReader) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("%s: deeper than %d", path, maxDepth)
	}
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return r.object(path, depth)
	case json.Delim('['):
		return r.list(path, depth)
	}
	return token, nil
}

func (r *treeReader) object(path string, depth int) (any, error) {
	object := make(map[string]any)
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprint(token)
		value, err := r.value(join(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := object[name]; ok {
			r.faults = append(r.faults, Fault{Path: join(path, name), Value: shown(value), Allowed: "a field given once"})
		}
		object[name] = value
	}
	_, err := r.decoder.Token()
	return object, err
}

func (r *treeReader) list(path string, depth int) (any, error) {
	list := []any{}
	for r.decoder.More() {
		value, err := r.value(fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := r.decoder.Token()
	return list, err
}

// checkForm compares the tree with the document's types, and takes what is
// wrong out of it.
func checkForm(tree map[string]any) Faults {
	c := &formChecker{}
	c.object("", tree, reflect.TypeFor[Document]())
	return c.faults
}

type formChecker struct{ faults Faults }

func (c *formChecker) fault(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: shown(value), Allowed: allowed})
}

func (c *formChecker) object(path string, object map[string]any, t reflect.Type) {
	known := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, optional := fieldName(t.Field(i))
		known = append(known, name)
		value, ok := object[name]
		if !ok {
			if !optional {
				c.faults = append(c.faults, Fault{Path: join(path, name), Value: "missing", Allowed: describe(t.Field(i).Type)})
			}
			continue
		}
		if !c.fits(join(path, name), value, t.Field(i).Type) {
			delete(object, name)
		}
	}
	for _, name := range sortedNames(object) {
		if !slices.Contains(known, name) {
			c.fault(join(path, name), object[name], "no such field; known here: "+strings.Join(known, ", "))
			delete(object, name)
		}
	}
}

// fits checks one value. Elements of a list that don't fit become empty ones,
// so that later elements keep their index.
func (c *formChecker) fits(path string, value any, t reflect.Type) bool {
	switch {
	case t == reflect.TypeFor[time.Time]():
	case t.Kind() == reflect.Struct:
		object, ok := value.(map[string]any)
		if ok {
			c.object(path, object, t)
			return true
		}
		c.fault(path, value, describe(t))
		return false
	case t.Kind() == reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			c.fault(path, value, describe(t))
			return false
		}
		for i := range list {
			if !c.fits(fmt.Sprintf("%s[%d]", path, i), list[i], t.Elem()) {
				list[i] = nil
			}
		}
		return true
	}
	data, err := json.Marshal(value)
	if err != nil || value == nil || json.Unmarshal(data, reflect.New(t).Interface()) != nil {
		c.fault(path, value, describe(t))
		return false
	}
	return true
}

// describe says what a value of type t is in JSON.
func describe(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "a time as in 2030-01-31T12:00:00Z"
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Uint64:
		return "a whole number, 0 or more"
	}
	return "a whole number"
}

// fieldName returns a field's name in JSON and whether it may be left out.
func fieldName(f reflect.StructField) (name string, optional bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, options != ""
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedNames(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// shown returns a value as JSON, cut to a bounded length.
func shown(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return strconv.Quote(err.Error())
	}
	if len(data) > maxValueShown {
		return strings.ToValidUTF8(string(data[:maxValueShown]), "") + "…"
	}
	return string(data)
}
