package jobstorer

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against jobs whose memory is not counted, or stays counted after their deletion
// or when the copy is read anew.
func TestJobTable_AccountsForJobs(t *testing.T) {
	b := budgeter.New(clockwork.NewFakeClock(), 1<<20)
	table := newJobTable(clockwork.NewFakeClock(), func() {})
	table.memory = b
	body := make([]byte, 100_000)
	records, err := submissionRecords(Submission{ID: "j", Items: []Item{{ID: "i", Body: body}}}, minPieceBytes)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		table.Reset(records)
		if held := b.Status().Held; held < int64(len(body)) || held > 2*int64(len(body)) {
			t.Errorf("%d bytes held for a body of %d", held, len(body))
		}
	}
	table.Apply([]storer.Record{{Key: prefixJob + "j"}})
	if held := b.Status().Held; held != 0 {
		t.Errorf("%d bytes held after the deletion", held)
	}
}
