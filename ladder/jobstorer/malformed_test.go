package jobstorer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// validJob returns the records of a job with one item.
func validJob(t testing.TB, id identifier.JobID) []storer.Record {
	t.Helper()
	records, err := submissionRecords(Submission{ID: id, Items: []Item{{ID: "item", Body: []byte("text")}}}, minPieceBytes)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// A job record may claim more pieces than exist. Reading it must not loop over the
// claimed count while it holds the mutex of the table, nor affect other jobs.
func TestApply_ACountOfPiecesWithoutEnd(t *testing.T) {
	const count = "2000000000000"
	for name, malformed := range map[string][]storer.Record{
		"new":   {{Key: prefixJob + "other", Value: []byte(count)}},
		"again": {{Key: prefixJob + "job", Value: []byte(count)}},
		"below": {{Key: prefixJob + "other", Value: []byte("-1")}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newJobTable(clockwork.NewFakeClock(), func() {})
			done := make(chan struct{})
			go func() {
				defer close(done)
				table.Apply(validJob(t, "job"))
				table.Apply(malformed)
			}()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the record is still being read")
			}
			var open []identifier.JobID
			for _, j := range table.openJobs() {
				open = append(open, j.ID)
			}
			if diff := cmp.Diff([]identifier.JobID{"job"}, open); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The group may assign partitions that are not configured.
func TestOpenAndDemand_UnknownPartitions(t *testing.T) {
	s := New(clockwork.NewFakeClock(), nil, Options{Topic: "jobs", Partitions: 2})
	for _, n := range []identifier.PartitionNumber{-1, 2, 1 << 40} {
		if diff := cmp.Diff([]Job(nil), s.OpenJobs(n)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(0, len(s.Demand([]identifier.PartitionNumber{n}))); diff != "" {
			t.Error(diff)
		}
	}
}

// FuzzApply checks that a valid job is known whatever records precede it.
func FuzzApply(f *testing.F) {
	for _, r := range validJob(f, "job") {
		f.Add(r.Key, r.Value, r.Key, r.Value)
	}
	result, err := cbor.Marshal(Result{Item: "item"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(prefixResult+"job/0", result, prefixProgress+"job/item", []byte{0xa0})
	f.Add(prefixEnd+"job", []byte("1"), prefixJob+"x", []byte("2000000000000"))
	f.Fuzz(func(t *testing.T, firstKey string, firstValue []byte, secondKey string, secondValue []byte) {
		table := newJobTable(clockwork.NewFakeClock(), func() {})
		records := []storer.Record{{Key: firstKey, Value: firstValue}, {Key: secondKey, Value: secondValue, Offset: 1}}
		table.Reset(records)
		table.Apply(records)
		table.Apply(validJob(t, "sound"))
		if _, known := table.jobs["sound"]; !known {
			t.Errorf("a valid job is unknown after %q and %q", firstKey, secondKey)
		}
		table.deletionRecords(0)
		table.openJobs()
	})
}
