package drafter_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/entry/drafter"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A page shows at most MaxItemsPerPage items. A form leaves out unchecked boxes, so
// that a box of an item that is not on the page could be mistaken for an unchecked
// one.
func TestDraft_ApplyFormKeepsItemsNotOnPage(t *testing.T) {
	var d validator.Document
	for n := range 200 {
		d.Services = append(d.Services, validator.Service{
			Name: identifier.ServiceName(fmt.Sprintf("models-%d", n)), Kind: validator.KindModelEngine, FencingChecked: true, Slots: 1,
		})
	}
	draft, err := drafter.New(d, 1, "night-shift")
	if err != nil {
		t.Fatal(err)
	}
	s, _ := drafter.SectionByName("services")
	items, found := draft.FormItems(s, nil, "")
	if len(items) != drafter.MaxItemsPerPage || found != 200 || items[len(items)-1].Title != "models-199" {
		t.Fatalf("%d of %d items, the last %q", len(items), found, items[len(items)-1].Title)
	}
	faults := validator.Faults{{Path: "services[77].slots"}}
	items, _ = draft.FormItems(s, faults, "models-150")
	if len(items) != 2 || !items[0].Faulty || items[1].Title != "models-150" {
		t.Fatalf("found %+v", items)
	}
	form := map[string]string{"services[150].name": "models-150", "services[150].slots": "9"}
	draft.ApplyForm(s, func(path string) (string, bool) { v, ok := form[path]; return v, ok })
	got, _ := draft.Document()
	d.Services[150].Slots, d.Services[150].FencingChecked = 9, false
	if diff := cmp.Diff(d.Services, got.Services); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
}
