package endtoend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

func (s *system) newFetcher() *fetcher.Fetcher {
	var entries []fetcher.Entry
	for _, address := range s.listen {
		entries = append(entries, fetcher.NewHTTPEntry(address, trainerKey))
	}
	return fetcher.New(clockwork.NewRealClock(), entries, fetcher.Options{Model: "advice", BatchLimit: 4, RetryDelay: 100 * time.Millisecond})
}

func newGroup(id string, samples, tokens int) deliverer.Group {
	return deliverer.Group{ID: identifier.GroupID(id), Body: generationBody(id, tokens), Samples: samples, ExpectedTokens: identifier.TokenCount(tokens)}
}

// receiveSamples receives count samples, checks that each is complete, and counts
// it in received.
func receiveSamples(ctx context.Context, f *fetcher.Fetcher, received map[identifier.SampleID]int, count int, tokens map[identifier.GroupID]int) error {
	for range count {
		sample, err := f.Next(ctx, 1)
		if err != nil {
			return err
		}
		received[sample.ID]++
		if !isCompleteGeneration(sample.Text, string(sample.Group), tokens[sample.Group]) || len(sample.Spans) == 0 {
			return fmt.Errorf("sample %s is incomplete or has no spans: %d bytes, spans %v", sample.ID, len(sample.Text), sample.Spans)
		}
	}
	return nil
}

func TestKilledEntry_EachSampleOnceAndNoneRegenerated(t *testing.T) {
	s := newSystem(t)
	s.addEngine("--token-time", "10ms", "--slots", "16")
	s.addEngine("--token-time", "10ms", "--slots", "16")
	s.addScorer()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	f := s.newFetcher()
	if err := f.Submit(ctx, []deliverer.Group{newGroup("short", 8, 20), newGroup("long", 8, 1000)}); err != nil {
		t.Fatal(err)
	}
	tokens := map[identifier.GroupID]int{"short": 20, "long": 1000}
	received := make(map[identifier.SampleID]int)
	if err := receiveSamples(ctx, f, received, 5, tokens); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the long samples at the engines", func() bool {
		return s.executionCounts(s.engines[0])["long"]+s.executionCounts(s.engines[1])["long"] == 8
	})
	s.entries[0].kill()
	if err := receiveSamples(ctx, f, received, 11, tokens); err != nil {
		t.Fatal(err)
	}
	want := make(map[identifier.SampleID]int)
	for n := range 8 {
		want[deliverer.SampleIDOf("short", n)], want[deliverer.SampleIDOf("long", n)] = 1, 1
	}
	if diff := cmp.Diff(want, received); diff != "" {
		t.Errorf("samples received (-want +got):\n%s", diff)
	}
	if generations := s.executionCounts(s.engines[0])["long"] + s.executionCounts(s.engines[1])["long"]; generations != 8 {
		t.Errorf("8 samples held by the sidecars took %d generations", generations)
	}
}
