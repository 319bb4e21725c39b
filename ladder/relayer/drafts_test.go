package relayer

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// owners maps addresses to answers; an unknown address fails.
type owners map[string][]messenger.Draft

func (o owners) Ask(_ context.Context, address string, q messenger.Question) (messenger.Reply, error) {
	list, ok := o[address]
	if !ok || q.Drafts == nil {
		return messenger.Reply{}, errors.New("no answer")
	}
	return messenger.Reply{Drafts: list}, nil
}

func TestCollect_FromAllOwnersThatAnswer(t *testing.T) {
	peers := owners{"p": {{Item: "b"}}, "q": {{Item: "c"}}}
	local := func(identifier.ModelName) []messenger.Draft { return []messenger.Draft{{Item: "a"}} }
	c := NewDraftCollector(local, func(identifier.JobID) []string { return []string{"p", "silent", "q"} }, peers)
	var mutex sync.Mutex
	var got []identifier.ItemID
	c.Collect(t.Context(), "j", "m", func(list []messenger.Draft) {
		mutex.Lock()
		defer mutex.Unlock()
		for n := range list {
			got = append(got, list[n].Item)
		}
	})
	slices.Sort(got)
	if diff := cmp.Diff([]identifier.ItemID{"a", "b", "c"}, got); diff != "" {
		t.Error(diff)
	}
}
