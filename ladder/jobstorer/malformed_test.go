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

// soundJob returns the records of a job with one item.
func soundJob(t testing.TB, id identifier.JobID) []storer.Record {
	t.Helper()
	data, err := cbor.Marshal(Submission{ID: id, Items: []Item{{ID: "item", Body: []byte("text")}}})
	if err != nil {
		t.Fatal(err)
	}
	return submissionRecords(id, data, leastPieceBytes)
}

// A record that counts more pieces than there can be is read in no time, since
// whoever asks for the book waits meanwhile, and hurts no other job.
func TestApply_ACountOfPiecesWithoutEnd(t *testing.T) {
	const count = "2000000000000"
	for name, malformed := range map[string][]storer.Record{
		"new":   {{Key: prefixJob + "other", Value: []byte(count)}},
		"again": {{Key: prefixJob + "job", Value: []byte(count)}},
		"below": {{Key: prefixJob + "other", Value: []byte("-1")}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(clockwork.NewFakeClock(), func() {})
			done := make(chan struct{})
			go func() {
				defer close(done)
				b.Apply(soundJob(t, "job"))
				b.Apply(malformed)
			}()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the record is still being read")
			}
			var open []identifier.JobID
			for _, j := range b.open() {
				open = append(open, j.ID)
			}
			if diff := cmp.Diff([]identifier.JobID{"job"}, open); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A store that deals out partitions that nobody set up.
func TestOpenAndDemand_UnknownPartitions(t *testing.T) {
	k := New(clockwork.NewFakeClock(), nil, Options{Topic: "jobs", Partitions: 2})
	for _, n := range []identifier.PartitionNumber{-1, 2, 1 << 40} {
		if diff := cmp.Diff([]Job(nil), k.OpenJobs(n)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(0, len(k.Demand([]identifier.PartitionNumber{n}))); diff != "" {
			t.Error(diff)
		}
	}
}

// FuzzApply: whatever stands in the store, a sound job that comes after it is known.
func FuzzApply(f *testing.F) {
	for _, r := range soundJob(f, "job") {
		f.Add(r.Key, r.Value, r.Key, r.Value)
	}
	result, err := cbor.Marshal(Result{Item: "item"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(prefixResult+"job/0", result, prefixProgress+"job/item", []byte{0xa0})
	f.Add(prefixEnd+"job", []byte("1"), prefixJob+"x", []byte("2000000000000"))
	f.Fuzz(func(t *testing.T, firstKey string, firstValue []byte, secondKey string, secondValue []byte) {
		b := newBook(clockwork.NewFakeClock(), func() {})
		records := []storer.Record{{Key: firstKey, Value: firstValue}, {Key: secondKey, Value: secondValue, Offset: 1}}
		b.Reset(records)
		b.Apply(records)
		b.Apply(soundJob(t, "sound"))
		if _, known := b.jobs["sound"]; !known {
			t.Errorf("a sound job is unknown after %q and %q", firstKey, secondKey)
		}
		b.dropRecords(0)
		b.open()
	})
}
