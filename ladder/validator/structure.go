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

// encoding/json stops at the first unknown field or wrong type, matches names
// case-insensitively, accepts null for any type, silently accepts duplicate
// names and leaves missing fields at zero. The structure of a document is
// therefore checked by comparing the JSON tree with the Go types, so that all
// such faults are found at once, with their paths.

// maxDepth exceeds the nesting depth of any valid document.
const maxDepth = 16

// maxValueBytes is the maximum number of bytes of an invalid value that are
// repeated in a fault.
const maxValueBytes = 80

// parseTree returns the document as a tree of maps, slices and scalars, or nil
// if it is not a JSON object.
func parseTree(data []byte) (tree map[string]any, faults Faults) {
	r := &treeParser{decoder: json.NewDecoder(bytes.NewReader(data))}
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
		return nil, Faults{{Path: "document", Value: formatValue(value), Allowed: allowed}}
	}
	return tree, r.faults
}

type treeParser struct {
	decoder *json.Decoder
	faults  Faults
}

func (r *treeParser) value(path string, depth int) (any, error) {
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

func (r *treeParser) object(path string, depth int) (any, error) {
	object := make(map[string]any)
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprint(token)
		value, err := r.value(joinPath(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := object[name]; ok {
			r.faults = append(r.faults, Fault{Path: joinPath(path, name), Value: formatValue(value), Allowed: "a field given once"})
		}
		object[name] = value
	}
	_, err := r.decoder.Token()
	return object, err
}

func (r *treeParser) list(path string, depth int) (any, error) {
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

// checkStructure compares the tree with the types of the document, and removes
// the invalid parts from it.
func checkStructure(tree map[string]any) Faults {
	c := &structureChecker{}
	c.checkObject("", tree, reflect.TypeFor[Document]())
	return c.faults
}

type structureChecker struct{ faults Faults }

func (c *structureChecker) addFault(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: formatValue(value), Allowed: allowed})
}

func (c *structureChecker) checkObject(path string, object map[string]any, t reflect.Type) {
	known := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, optional := fieldName(t.Field(i))
		known = append(known, name)
		value, ok := object[name]
		if !ok {
			if !optional {
				c.faults = append(c.faults, Fault{Path: joinPath(path, name), Value: "missing", Allowed: describeType(t.Field(i).Type)})
			}
			continue
		}
		if !c.checkValue(joinPath(path, name), value, t.Field(i).Type) {
			delete(object, name)
		}
	}
	for _, name := range sortedNames(object) {
		if !slices.Contains(known, name) {
			c.addFault(joinPath(path, name), object[name], "no such field; known here: "+strings.Join(known, ", "))
			delete(object, name)
		}
	}
}

// checkValue checks one value. Invalid list elements are replaced by null, so
// that the indices of later elements do not change.
func (c *structureChecker) checkValue(path string, value any, t reflect.Type) bool {
	switch {
	case t == reflect.TypeFor[time.Time]():
	case t.Kind() == reflect.Struct:
		object, ok := value.(map[string]any)
		if ok {
			c.checkObject(path, object, t)
			return true
		}
		c.addFault(path, value, describeType(t))
		return false
	case t.Kind() == reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			c.addFault(path, value, describeType(t))
			return false
		}
		for i := range list {
			if !c.checkValue(fmt.Sprintf("%s[%d]", path, i), list[i], t.Elem()) {
				list[i] = nil
			}
		}
		return true
	}
	data, err := json.Marshal(value)
	if err != nil || value == nil || json.Unmarshal(data, reflect.New(t).Interface()) != nil {
		c.addFault(path, value, describeType(t))
		return false
	}
	return true
}

// describeType describes the JSON values allowed for type t.
func describeType(t reflect.Type) string {
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

// fieldName returns the JSON name of a field and whether it is optional.
func fieldName(f reflect.StructField) (name string, optional bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, options != ""
}

func joinPath(path, name string) string {
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

// formatValue returns a value as JSON, truncated to maxValueBytes.
func formatValue(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return strconv.Quote(err.Error())
	}
	if len(data) > maxValueBytes {
		return strings.ToValidUTF8(string(data[:maxValueBytes]), "") + "…"
	}
	return string(data)
}
