package jobstorer

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against a job that runs though its client has ended it before its submission, whose
// response was lost, was carried out.
func TestEnd_BeforeTheSubmissionIsStored(t *testing.T) {
	const owner = identifier.AccountName("owner")
	for name, c := range map[string]struct {
		end  func(ctx context.Context, h *host) error
		open int
	}{
		"without accounts": {func(ctx context.Context, h *host) error { return h.End(ctx, "j") }, 0},
		"own account":      {func(ctx context.Context, h *host) error { return h.EndForAccount(ctx, owner, "j") }, 0},
		"other account":    {func(ctx context.Context, h *host) error { return h.EndForAccount(ctx, "other", "j") }, 1},
		"no account":       {func(ctx context.Context, h *host) error { return h.EndForAccount(ctx, "", "j") }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, store *faker.Store) {
				first := newHost(store)
				defer first.stop()
				time.Sleep(time.Second)
				if err := c.end(ctx, first); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if err := first.Exists(ctx, "j"); !errors.Is(err, ErrUnknownJob) {
					t.Errorf("an ended job that is not stored: %v", err)
				}
				job := submission("j", 2, 1)
				job.Account = owner
				if err := first.Accept(ctx, job); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				second := newHost(store)
				defer second.stop()
				time.Sleep(time.Second)
				for _, h := range []*host{first, second} {
					if got := len(h.OpenJobs(h.PartitionOf("j"))); got != c.open {
						t.Errorf("%d open jobs, want %d", got, c.open)
					}
					if err := h.Exists(ctx, "j"); err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}

// Guards against ends of jobs that never appear and stay in the store for ever.
func TestDeleteExpired_EndsWithoutAJob(t *testing.T) {
	inBubble(t, func(ctx context.Context, store *faker.Store) {
		h := newHost(store)
		defer h.stop()
		go h.DeleteExpired(ctx, func(identifier.PartitionNumber) bool { return true })
		if err := h.End(ctx, "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Minute)
		p := storer.Partition{Topic: topic, Number: h.PartitionOf("j")}
		page, err := store.Newest(ctx, p, "")
		if err != nil || len(page.Records) > 0 {
			t.Errorf("%d records, %v", len(page.Records), err)
		}
	})
}
