package cataloger

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

func TestRespondingSoftware_OfUnlistedStarts(t *testing.T) {
	catalog := New(clockwork.NewFakeClockAt(firstMinute), startDecoder{})
	catalog.TargetSink().Reset([]storer.Record{record("a", "ready@1")})
	listed, _ := catalog.Target("a")
	var got []identifier.SoftwareVersion
	for _, id := range []int64{0, startID(1), 7, 7, 8} {
		software, err := catalog.RespondingSoftware(listed, id)
		if err != nil {
			t.Error(err)
		}
		got = append(got, software)
	}
	if diff := cmp.Diff([]identifier.SoftwareVersion{"", "", "of unlisted start 7 of a", "of unlisted start 7 of a", "of unlisted start 8 of a"}, got); diff != "" {
		t.Error(diff)
	}
	replaced := listed
	replaced.StartID--
	if _, err := catalog.RespondingSoftware(replaced, 0); !errors.Is(err, ErrReplaced) {
		t.Errorf("a replaced target: %v", err)
	}
}
