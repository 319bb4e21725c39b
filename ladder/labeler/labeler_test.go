package labeler_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// engine is the true state of a model engine.
type engine struct {
	boot     int
	version  identifier.WeightVersion
	switches uint64
	stamps   bool
}

func (e *engine) state() caller.State {
	return caller.State{BootID: fmt.Sprint("boot-", e.boot), Version: e.version, SwitchCount: e.switches}
}

// randomEvent switches weights, possibly to the same version, or restarts the
// engine, which resets its switch count; most calls do neither.
func (e *engine) randomEvent(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		e.version = identifier.WeightVersion(rapid.IntRange(1, 3).Draw(t, "version"))
		e.switches++
	case 1:
		e.boot, e.version, e.switches = e.boot+1, 1, 0
	}
}

// Whatever switches and restarts happen between the state reads and the chunks,
// the spans must give every token the version that generated it, or the label
// must be refused.
func TestFinish_TrueVersionsOrNone(t *testing.T) {
	labelled := 0
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{boot: 1, version: 1, stamps: rapid.Bool().Draw(t, "stamps")}
		e.randomEvent(t)
		l := labeler.New(e.state())
		var want []identifier.WeightVersion
		for range rapid.IntRange(0, 6).Draw(t, "pieces") {
			e.randomEvent(t)
			p := caller.Chunk{Tokens: identifier.TokenCount(rapid.IntRange(0, 3).Draw(t, "tokens"))}
			if e.stamps {
				p.Version = e.version
			}
			l.Add(p)
			for range p.Tokens {
				want = append(want, e.version)
			}
		}
		e.randomEvent(t)
		spans, ok := l.Finish(e.state())
		if !ok {
			return
		}
		labelled++
		if diff := cmp.Diff(want, versionsOf(spans)); diff != "" {
			t.Fatalf("version of each token (-want +got):\n%s", diff)
		}
	})
	if labelled == 0 {
		t.Error("no response was ever labelled")
	}
}

// versionsOf returns the version of each token, nil if the spans have gaps or
// overlap.
func versionsOf(spans []messenger.Span) (versions []identifier.WeightVersion) {
	for _, s := range spans {
		if s.From != identifier.TokenCount(len(versions)) || s.To <= s.From {
			return nil
		}
		for range s.To - s.From {
			versions = append(versions, s.Version)
		}
	}
	return versions
}
