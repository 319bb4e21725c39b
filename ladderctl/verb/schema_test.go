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

// The committed schema is generated from the Go types, their comments and
// validator.Bounds. After a change, run: make pages
func TestSchema_CommittedFileIsCurrent(t *testing.T) {
	got := generateSchema(t)
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

func generateSchema(t *testing.T) []byte {
	t.Helper()
	r := &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true, DoNotReference: true}
	if err := r.AddGoComments("github.com/lycheeladder/lycheeladder/ladder/validator", "../../ladder/validator"); err != nil {
		t.Fatal(err)
	}
	// The reflector keys the comments by the directory's path, but looks them up by
	// the import path.
	for name, comment := range r.CommentMap {
		if at := strings.LastIndex(name, "/validator."); at >= 0 {
			r.CommentMap["github.com/lycheeladder/lycheeladder/ladder"+name[at:]] = comment
		}
	}
	s := r.Reflect(validator.Document{})
	s.ID = "urn:" + validator.SchemaName
	s.Properties.Value("schema").Const = validator.SchemaName
	addBounds("", s)
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// addBounds adds the bounds of numbers and lists, and the pattern of names, to the
// schema and its descendants.
func addBounds(path string, s *jsonschema.Schema) {
	if r, ok := validator.Bounds[path]; ok {
		low, high := uint64(r.Min), uint64(r.Max)
		switch s.Type {
		case "array":
			s.MinItems, s.MaxItems = &low, &high
		case "integer":
			s.Minimum, s.Maximum = jsonNumber(r.Min), jsonNumber(r.Max)
		}
	}
	if strings.HasSuffix(path, ".name") {
		s.Pattern = validator.NamePattern
	}
	if s.Items != nil {
		addBounds(path, s.Items)
	}
	for p := s.Properties.Oldest(); s.Properties != nil && p != nil; p = p.Next() {
		addBounds(strings.TrimPrefix(path+"."+p.Key, "."), p.Value)
	}
}

func jsonNumber(n int) json.Number {
	data, _ := json.Marshal(n)
	return json.Number(data)
}
