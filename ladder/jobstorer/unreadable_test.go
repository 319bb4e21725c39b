package jobstorer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against an accepted job that is unknown at all hosts since its items, headers or ids exceed
// a limit of the decoder.
func TestAccept_WhatIsAcceptedCanBeRead(t *testing.T) {
	const many = 140_000
	headers := make(map[string]string, many)
	for n := range many {
		headers[string(rune(n))+"\xff"] = ""
	}
	for name, want := range map[string]Submission{
		"many items":     {ID: "j", Items: submission("j", many, 1).Items},
		"many headers":   {ID: "j", Items: []Item{{ID: "i", Headers: headers}}},
		"id not UTF-8":   {ID: "j\xff", Items: []Item{{ID: "i"}}},
		"host not UTF-8": {ID: "j", Host: "h\xc3(", Items: []Item{{ID: "i"}}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, store *faker.Store) {
				h := newHost(store)
				defer h.stop()
				if err := h.Accept(ctx, want); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if err := h.Exists(ctx, want.ID); err != nil {
					t.Fatal(err)
				}
				wantJob(t, store, want)
			})
		})
	}
}

// Guards against a result that ends the list of its job for good since its score is no UTF-8.
func TestAddResult_AScoreThatIsNotUTF8(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		if err := h.Accept(ctx, submission("j", 2, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		want := []Result{completed("j-0", "a"), completed("j-1", "b")}
		want[0].Score = "sig\xff"
		for _, r := range want {
			h.AddResult(JobResult{Job: "j", Result: r})
			time.Sleep(time.Second)
		}
		if diff := cmp.Diff(want, resultsOf(t, h, "j")); diff != "" {
			t.Error(diff)
		}
	})
}

// spoil overwrites a record with bytes that can't be decoded.
func spoil(t *testing.T, store *faker.Store, h *host, id identifier.JobID, key string) {
	t.Helper()
	p := storer.Partition{Topic: topic, Number: h.PartitionOf(id)}
	if _, err := store.Append(context.Background(), p, storer.AnyOffset, []storer.Record{{Key: key, Value: []byte{0xff}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a job whose record can't be read that is reported as unknown, or whose pieces are
// deleted before the job has ended.
func TestUnreadableJob_IsNeitherUnknownNorDeleted(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		first := newHost(store)
		want := submission("j", 2, 1)
		if err := first.Accept(ctx, want); err != nil {
			t.Fatal(err)
		}
		first.stop()
		record := recordIn(t, store, first, "j", prefixJob+"j")
		spoil(t, store, first, "j", prefixJob+"j")

		second := newHost(store)
		defer second.stop()
		go second.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		time.Sleep(10 * time.Minute)
		if _, err := second.Results(ctx, "j", 0, 0, 1); !errors.Is(err, ErrUnreadable) {
			t.Errorf("results: %v, want %v", err, ErrUnreadable)
		}
		p := storer.Partition{Topic: topic, Number: first.PartitionOf("j")}
		if _, err := store.Append(ctx, p, storer.AnyOffset, []storer.Record{record}); err != nil {
			t.Fatal(err)
		}
		wantJob(t, store, want)

		spoil(t, store, first, "j", prefixJob+"j")
		third := newHost(store)
		defer third.stop()
		go third.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		if err := third.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Minute)
		if err := third.Exists(ctx, "j"); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("after the job's end and retention: %v, want %v", err, ErrUnknownJob)
		}
	})
}

// recordIn returns the newest record of a key.
func recordIn(t *testing.T, store *faker.Store, h *host, id identifier.JobID, key string) storer.Record {
	t.Helper()
	p := storer.Partition{Topic: topic, Number: h.PartitionOf(id)}
	list, _, err := storer.ReadPages(func(after string) (storer.SnapshotPage, error) { return store.Newest(context.Background(), p, after) })
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range list {
		if r.Key == key {
			return r
		}
	}
	t.Fatalf("there is no record %q", key)
	return storer.Record{}
}

// Guards against a second result at the position of one that can't be read.
func TestUnreadableResult_KeepsItsPosition(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		if err := h.Accept(ctx, submission("j", 2, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		spoil(t, store, h, "j", prefixResult+"j/0")
		time.Sleep(time.Second)
		h.AddResult(JobResult{Job: "j", Result: completed("j-0", "a")})
		time.Sleep(time.Second)
		if got := recordIn(t, store, h, "j", prefixResult+"j/0").Value; len(got) != 1 {
			t.Errorf("position 0 holds another result: %x", got)
		}
		if _, err := h.Results(ctx, "j", 0, 0, 1); !errors.Is(err, ErrUnreadable) {
			t.Errorf("results: %v, want %v", err, ErrUnreadable)
		}
		if h.AwaitsResult("j", "j-0") {
			t.Error("the item runs without a place for its result")
		}
	})
}
