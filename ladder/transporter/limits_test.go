package transporter

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
)

// Guards against a link that is closed, and a peer that is left alone, since one reply or question
// exceeds the limits of its receiver.
func TestQuestions_OneThatIsTooLargeLeavesTheLinkOpen(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	manyDrafts := make([]messenger.Draft, 1<<14+1)
	transporter, address := listen(t, func(link messenger.Link) {
		querier.Serve(ctx, link, func(_ context.Context, q messenger.Question) (r messenger.Reply) {
			switch {
			case q.Job != nil:
				r.Job = &messenger.JobAnswer{Outcome: messenger.JobDone, Data: make([]byte, q.Job.MaxBytes)}
			case q.Drafts != nil:
				r.Drafts = manyDrafts
			case q.FindOrigin != "":
				r.Origin = &messenger.StreamOrigin{Stream: q.FindOrigin}
			}
			return r
		})
	})
	peers := querier.New(clockwork.NewRealClock(), transporter)
	stream := identifier.StreamID("not UTF-8: \xff")
	check := func() {
		t.Helper()
		r, err := peers.Ask(ctx, address, messenger.Question{FindOrigin: stream})
		if diff := cmp.Diff(&messenger.StreamOrigin{Stream: stream}, r.Origin); diff != "" || err != nil {
			t.Errorf("the next question: %v\n%s", err, diff)
		}
	}
	check()
	for name, q := range map[string]messenger.Question{
		"bytes of a reply":    {Job: &messenger.JobCall{MaxBytes: encoder.MaxFrameBytes}},
		"elements of a reply": {Drafts: &messenger.DraftCall{}},
	} {
		if r, err := peers.Ask(ctx, address, q); err != nil || r.Job != nil || r.Drafts != nil {
			t.Errorf("%s: reply with %v, %d drafts, %v", name, r.Job != nil, len(r.Drafts), err)
		}
		check()
	}
	q := messenger.Question{Store: &messenger.StoreCall{Body: make([]byte, encoder.MaxFrameBytes)}}
	if _, err := peers.Ask(ctx, address, q); !errors.Is(err, messenger.ErrTooLarge) {
		t.Errorf("a large question: %v, want %v", err, messenger.ErrTooLarge)
	}
	check()
}
