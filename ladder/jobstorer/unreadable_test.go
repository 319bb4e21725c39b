package jobstorer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
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

