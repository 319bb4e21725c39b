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

// TestMain fixes the seed of the properties; -rapid.seed names another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// engine is what truly happens at a model engine.
type engine struct {
	boot     int
	version  identifier.WeightVersion
	switches uint64
	stamps   bool
}

func (e *engine) state() caller.State {
	return caller.State{BootID: fmt.Sprint("boot-", e.boot), Version: e.version, SwitchCount: e.switches}
}

// happen switches weights, also to the same version, or restarts the engine,
// which forgets its count; mostly neither.
func (e *engine) happen(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		e.version = identifier.WeightVersion(rapid.IntRange(1, 3).Draw(t, "version"))
		e.switches++
	case 1:
		e.boot, e.version, e.switches = e.boot+1, 1, 0
	}
}

// TestFinish_TrueVersionsOrNone: whatever switches and restarts fall between
// the reads of the state and the pieces, spans cover all tokens with the
// versions that made them, or the label is refused.
func TestFinish_TrueVersionsOrNone(t *testing.T) {
	labelled := 0
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{boot: 1, version: 1, stamps: rapid.Bool().Draw(t, "stamps")}
		e.happen(t)
		l := labeler.New(e.state())
		var truth []identifier.WeightVersion
		for range rapid.IntRange(0, 6).Draw(t, "pieces") {
			e.happen(t)
			p := caller.Chunk{Tokens: identifier.TokenCount(rapid.IntRange(0, 3).Draw(t, "tokens"))}
			if e.stamps {
				p.Version = e.version
			}
			l.Add(p)
			for range p.Tokens {
				truth = append(truth, e.version)
			}
		}
		e.happen(t)
		spans, ok := l.Finish(e.state())
		if !ok {
			return
		}
		labelled++
		if diff := cmp.Diff(truth, versionsOf(spans)); diff != "" {
			t.Fatalf("version of each token (-true +labelled):\n%s", diff)
		}
	})
	if labelled == 0 {
		t.Error("no answer was ever labelled")
	}
}

// versionsOf returns the version of each token, nil if the spans don't join.
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
