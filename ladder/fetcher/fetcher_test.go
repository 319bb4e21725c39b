package fetcher_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// slowEntry is an entry whose Open takes a second.
type slowEntry struct{ *deliverer.Deliverer }

func (e slowEntry) Open(_ context.Context, o deliverer.OpenRequest) error {
	time.Sleep(time.Second)
	return e.Deliverer.Open(o, deliverer.ModelConfig{Model: o.Model, StalenessBound: 1, MaxInProgress: 4, AttemptTimeout: time.Minute})
}

func (e slowEntry) Submit(_ context.Context, s deliverer.SubmitRequest) error {
	return e.Deliverer.Submit(s)
}

func (e slowEntry) Announce(context.Context, deliverer.AnnounceRequest) error { return nil }

// instantGenerator generates every sample immediately.
type instantGenerator struct{}

func (instantGenerator) Newest(identifier.ModelName) identifier.WeightVersion { return 1 }

func (instantGenerator) Generate(context.Context, dispatcher.Request) dispatcher.Outcome {
	return dispatcher.Completed{Status: 200, Body: []byte("text"), Spans: []messenger.Span{{Version: 1, To: 1}}}
}

func (instantGenerator) Locate(context.Context, identifier.ServiceName, []identifier.SampleID) map[identifier.SampleID]dispatcher.SampleLocation {
	return nil
}

func (instantGenerator) TakeOver(context.Context, dispatcher.Request, dispatcher.SampleLocation) dispatcher.Outcome {
	return nil
}

func (instantGenerator) Score(context.Context, deliverer.ModelConfig, identifier.SampleID, string) (*float64, error) {
	return nil, nil
}

func groupOf(id identifier.GroupID) []deliverer.Group {
	return []deliverer.Group{{ID: id, Body: json.RawMessage(`{}`), Samples: 2}}
}

// A group submitted while a session opens must become part of the session, and
// the entry must remove every group that the trainer has received completely.
func TestSubmit_WhileASessionOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		clock := clockwork.NewRealClock()
		d := deliverer.New(clock, instantGenerator{}, instantGenerator{})
		running, stop := context.WithCancel(ctx)
		go d.Run(running)
		f := fetcher.New(clock, []fetcher.Entry{slowEntry{d}}, fetcher.Options{Model: "advice", BatchLimit: 8, RetryDelay: time.Second})
		_ = f.Submit(ctx, groupOf("before"))
		time.AfterFunc(500*time.Millisecond, func() { _ = f.Submit(ctx, groupOf("meanwhile")) })
		got := make(map[identifier.GroupID]int)
		for range 4 {
			sample, err := f.Next(ctx, 1)
			if err != nil {
				t.Fatalf("next: %v, received so far %v", err, got)
			}
			got[sample.Group]++
		}
		if diff := cmp.Diff(map[identifier.GroupID]int{"before": 2, "meanwhile": 2}, got); diff != "" {
			t.Errorf("samples by group (-want +got):\n%s", diff)
		}
		last, end := context.WithTimeout(ctx, 2*time.Second)
		defer end()
		_, _ = f.Next(last, 1)
		if groups := d.Sessions()[0].Groups; groups != 0 {
			t.Errorf("the session holds %d groups, want none", groups)
		}
		stop()
	})
}
