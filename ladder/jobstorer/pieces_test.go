package jobstorer

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// diesAfter is the store of a process that ends after some appends.
type diesAfter struct {
	storer.Log
	appends int
}

func (d *diesAfter) Append(ctx context.Context, p storer.Partition, at identifier.LogOffset, records []storer.Record) (identifier.LogOffset, error) {
	if d.appends--; d.appends < 0 {
		return 0, appender.ErrUnavailable
	}
	return d.Log.Append(ctx, p, at, records)
}

// pausesAfter is the store of a process that is slow after some appends.
type pausesAfter struct {
	storer.Log
	appends int
}

const pauseBetweenAppends = 600 * time.Millisecond

func (p *pausesAfter) Append(ctx context.Context, partition storer.Partition, at identifier.LogOffset, records []storer.Record) (identifier.LogOffset, error) {
	if p.appends--; p.appends < 0 {
		time.Sleep(pauseBetweenAppends)
	}
	return p.Log.Append(ctx, partition, at, records)
}

// largeSubmission returns a job of several appends, most of whose bytes are headers.
func largeSubmission(id identifier.JobID) Submission {
	s := submission(id, 80, 100)
	for n := range s.Items {
		headers := make(map[string]string)
		for k := range 30 {
			headers[fmt.Sprintf("Name-%d", k)] = strings.Repeat(strconv.Itoa(k), 1<<10)
		}
		s.Items[n].Headers = headers
	}
	return s
}

// wantJob checks that a process which starts now knows the job as it was submitted.
func wantJob(t *testing.T, store storer.Log, want Submission) {
	t.Helper()
	h := newHost(store)
	defer h.stop()
	time.Sleep(time.Second)
	jobs := h.OpenJobs(h.PartitionOf(want.ID))
	if len(jobs) != 1 {
		t.Fatalf("%d jobs, want 1", len(jobs))
	}
	want.AcceptedAt = jobs[0].AcceptedAt
	if diff := cmp.Diff(want, jobs[0].Submission, cmp.Comparer(bytes.Equal)); diff != "" {
		t.Error(diff[:min(len(diff), 2000)])
	}
}

// Guards against accepted jobs that become unreadable, or get other headers, when a process ends
// while it writes a repeated submission.
func TestAccept_AJobOutlivesAnySubmissionThatBreaksOff(t *testing.T) {
	smallRecords := func(h *host) { h.options.MaxRecordBytes = 128 << 10 }
	for name, change := range map[string]func(h *host){
		"same settings": func(*host) {}, "other size of records": smallRecords,
	} {
		for appends := range 4 {
			t.Run(fmt.Sprintf("%s, %d appends", name, appends), func(t *testing.T) {
				inBubble(t, func(ctx context.Context, store *faker.Store) {
					want := largeSubmission("j")
					first := newHost(store)
					defer first.stop()
					if err := first.Accept(ctx, want); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Second)
					second := newHost(&diesAfter{store, appends})
					change(second)
					_ = second.Accept(ctx, largeSubmission("j")) // breaks off
					second.stop()
					wantJob(t, store, want)
					store.Forget()
					wantJob(t, store, want)
				})
			})
		}
	}
}

// Guards against a host that does not know a job because it loaded the partition during a
// repeated submission.
func TestAccept_AJobIsKnownToHostsThatReadItWhileItIsWrittenAgain(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		want := largeSubmission("j")
		first := newHost(store)
		defer first.stop()
		if err := first.Accept(ctx, want); err != nil {
			t.Fatal(err)
		}
		second := newHost(&pausesAfter{store, 1})
		defer second.stop()
		go func() { _ = second.Accept(ctx, want) }() // fails only if the test does
		time.Sleep(pauseBetweenAppends / 2)
		third := newHost(store)
		defer third.stop()
		time.Sleep(pauseBetweenAppends)
		if err := third.Exists(ctx, "j"); err != nil {
			t.Error(err)
		}
	})
}

// Guards against orphaned records that are never deleted, and against the deletion of records
// that an accepted job needs.
func TestDeleteExpired_PiecesWithoutAJob(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		kept := largeSubmission("kept")
		h := newHost(store)
		defer h.stop()
		go h.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		if err := h.Accept(ctx, kept); err != nil {
			t.Fatal(err)
		}
		for _, id := range []identifier.JobID{"left", "kept"} {
			other := newHost(&diesAfter{store, 1})
			other.options.MaxRecordBytes = 128 << 10
			_ = other.Accept(ctx, largeSubmission(id)) // breaks off
			other.stop()
		}
		time.Sleep(3 * time.Minute)
		wantJob(t, store, kept)
		if err := h.End(ctx, "kept"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		wantNoRecords(ctx, t, store)
	})
}

// Guards against jobs that were accepted by a build without digests and are lost in an upgrade.
func TestReset_ReadsJobsOfBuildsWithoutDigests(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		want := largeSubmission("j")
		want.AcceptedAt = time.Now().UnixMilli()
		data, err := cbor.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		old := []storer.Record{
			{Key: "piece/j/0", Value: data[:200<<10]}, {Key: "piece/j/1", Value: data[200<<10:]}, {Key: "job/j", Value: []byte("2")},
		}
		h := newHost(store)
		defer h.stop()
		go h.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		store.Put(storer.Partition{Topic: topic, Number: h.PartitionOf("j")}, old...)
		wantJob(t, store, want)
		if err := h.Accept(ctx, want); err != nil {
			t.Fatal(err)
		}
		wantJob(t, store, want)
		store.Put(storer.Partition{Topic: topic, Number: h.PartitionOf("j")}, old...)
		wantJob(t, store, want)
		if err := h.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		wantNoRecords(ctx, t, store)
	})
}

// Guards against encodings of a submission that depend on the process that writes it.
func TestSubmissionRecords_AreTheSameOfAllWriters(t *testing.T) {
	want, err := submissionRecords(largeSubmission("j"), minPieceBytes)
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		s := largeSubmission("j")
		s.AcceptedAt = 5
		got, err := submissionRecords(s, minPieceBytes)
		if err != nil {
			t.Fatal(err)
		}
		last := len(got) - 1
		if diff := cmp.Diff(want[:last], got[:last], cmp.Comparer(bytes.Equal)); diff != "" {
			t.Fatal(diff[:min(len(diff), 2000)])
		}
	}
	table := newJobTable(clockwork.NewFakeClock(), func() {})
	table.Apply(want)
	if _, known := table.jobs["j"]; !known {
		t.Error("the job is unknown")
	}
}

// Guards against keys that are too long for a record.
func TestSubmissionRecords_KeysFitIntoARecord(t *testing.T) {
	long := strings.Repeat("x", MaxIDBytes)
	s := submission(identifier.JobID(long), 1, 1<<20)
	records, err := submissionRecords(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	keys := []string{prefixResult + indexedKey(s.ID, len(s.Items)), prefixEnd + long}
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	for _, key := range keys {
		if len(key) > storer.MaxKeyBytes {
			t.Fatalf("%d bytes: %s", len(key), key)
		}
	}
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		if err := h.Accept(ctx, submission(s.ID, 1, 10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		h.SaveProgress(s.ID, progress(identifier.ItemID(long), 5))
		time.Sleep(time.Second)
		for _, r := range store.All(storer.Partition{Topic: topic, Number: h.PartitionOf(s.ID)}) {
			if len(r.Key) > storer.MaxKeyBytes {
				t.Errorf("%d bytes: %s", len(r.Key), r.Key)
			}
		}
	})
}
