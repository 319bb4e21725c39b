package verb

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/invopop/jsonschema"

	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const schemaFile = "../../docs/document.schema.json"

// The committed schema is made from the Go types, their comments and the table
// of bounds. After a change: make pages
func TestSchema_CommittedFileIsCurrent(t *testing.T) {
	got := schemaOf(t)
	if *update {
		if err := os.WriteFile(schemaFile, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s is not current (-want +got):\n%s", schemaFile, diff)
	}
}

func schemaOf(t *testing.T) []byte {
	t.Helper()
	r := &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true, DoNotReference: true}
	if err := r.AddGoComments("github.com/lycheeladder/lycheeladder/ladder/validator", "../../ladder/validator"); err != nil {
		t.Fatal(err)
	}
	// The reflector files the comments under the directory's own path.
	for name, comment := range r.CommentMap {
		if at := strings.LastIndex(name, "/validator."); at >= 0 {
			r.CommentMap["github.com/lycheeladder/lycheeladder/ladder"+name[at:]] = comment
		}
	}
	s := r.Reflect(validator.Document{})
	s.ID = "urn:" + validator.SchemaName
	s.Properties.Value("schema").Const = validator.SchemaName
	bound("", s)
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// bound writes the bounds of numbers and lists into the schema.
func bound(path string, s *jsonschema.Schema) {
	if r, ok := validator.Bounds[path]; ok {
		low, high := uint64(r.Min), uint64(r.Max)
		switch s.Type {
		case "array":
			s.MinItems, s.MaxItems = &low, &high
		case "integer":
			s.Minimum, s.Maximum = number(r.Min), number(r.Max)
		}
	}
	if strings.HasSuffix(path, ".name") {
		s.Pattern = validator.NamePattern
	}
	if s.Items != nil {
		bound(path, s.Items)
	}
	for p := s.Properties.Oldest(); s.Properties != nil && p != nil; p = p.Next() {
		bound(strings.TrimPrefix(path+"."+p.Key, "."), p.Value)
	}
}

func number(n int) json.Number {
	data, _ := json.Marshal(n)
	return json.Number(data)
}
