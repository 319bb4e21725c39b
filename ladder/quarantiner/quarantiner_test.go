package quarantiner_test

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

// TestMain fixes the seed of the property tests; -rapid.seed sets another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func crashOf(bootID string, f ...identifier.Fingerprint) messenger.Crashed {
	return messenger.Crashed{Target: "engine", BootID: bootID, Fingerprints: f}
}

func TestCheck(t *testing.T) {
	const a, b, c = 1, 2, 3
	free, alone, refused := quarantiner.Free{}, quarantiner.Alone{}, quarantiner.Refused{RetryAfter: quarantine}
	cases := []struct {
		name    string
		crashes []messenger.Crashed
		cleared []identifier.Fingerprint
		wait    time.Duration
		// want has the verdicts on a, b and c.
		want []quarantiner.Verdict
	}{
		{"one crash", []messenger.Crashed{crashOf("1", a, b)}, nil, 0, []quarantiner.Verdict{alone, alone, free}},
		{"one crash reported twice", []messenger.Crashed{crashOf("1", a), crashOf("1", a)}, nil, 0, []quarantiner.Verdict{alone, free, free}},
		{"two together twice", []messenger.Crashed{crashOf("1", a, b), crashOf("2", a, b)}, nil, 0, []quarantiner.Verdict{alone, alone, free}},
		{"never alone", []messenger.Crashed{crashOf("1", a, b), crashOf("2", a, c)}, nil, 0, []quarantiner.Verdict{alone, alone, alone}},
		{"two together twice, then the other is cleared", []messenger.Crashed{crashOf("1", a, b), crashOf("2", a, b)}, []identifier.Fingerprint{b}, 0, []quarantiner.Verdict{refused, free, free}},
		{"two together, then one alone", []messenger.Crashed{crashOf("1", a, b), crashOf("2", a)}, nil, 0, []quarantiner.Verdict{refused, free, free}},
		{"cleared", []messenger.Crashed{crashOf("1", a)}, []identifier.Fingerprint{a}, 0, []quarantiner.Verdict{free, free, free}},
		{"expired", []messenger.Crashed{crashOf("1", a), crashOf("2", a)}, nil, quarantine + 1, []quarantiner.Verdict{free, free, free}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			q := quarantiner.New(clock)
			for _, m := range x.crashes {
				q.RecordCrash(m)
			}
			for _, f := range x.cleared {
				q.MarkSafe(f)
			}
			clock.Advance(x.wait)
			got := []quarantiner.Verdict{q.Check(a), q.Check(b), q.Check(c)}
			if diff := cmp.Diff(x.want, got); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAcquire_OneOfEqualSuspectsAtATime(t *testing.T) {
	q := quarantiner.New(clockwork.NewFakeClock())
	q.RecordCrash(crashOf("1", 1, 2))
	first, _ := q.Acquire(t.Context(), 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, waiting := q.Acquire(ended, 1)
	q.MarkSafe(1)
	q.Release(1, first)
	second, _ := q.Acquire(t.Context(), 1)
	got := []any{first, waiting, second}
	if diff := cmp.Diff([]any{quarantiner.Alone{}, context.Canceled, quarantiner.Free{}}, got, cmp.Comparer(func(a, b error) bool { return errors.Is(a, b) })); diff != "" {
		t.Errorf("first, while it runs, once it is cleared (-want +got):\n%s", diff)
	}
}

// Reports may arrive in any order and more than once; the verdicts are the same.
func TestRecordCrash_OrderAndRepetitionDoNotMatter(t *testing.T) {
	fingerprints := rapid.SliceOfN(rapid.Uint64Range(1, 6), 1, 4)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		first, second := quarantiner.New(clock), quarantiner.New(clock)
		var reports []messenger.Crashed
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			if rapid.Bool().Draw(t, "clear") {
				reports = append(reports, first.MarkSafe(identifier.Fingerprint(rapid.Uint64Range(1, 6).Draw(t, "f")))...)
				continue
			}
			m := messenger.Crashed{BootID: rapid.StringMatching("[1-4]").Draw(t, "boot")}
			for _, f := range fingerprints.Draw(t, "present") {
				m.Fingerprints = append(m.Fingerprints, identifier.Fingerprint(f))
			}
			first.RecordCrash(m)
			reports = append(reports, m)
		}
		for _, m := range slices.Concat(rapid.Permutation(reports).Draw(t, "order"), first.Crashes()[:rapid.IntRange(0, len(first.Crashes())).Draw(t, "again")]) {
			second.RecordCrash(m)
		}
		for f := range identifier.Fingerprint(7) {
			if diff := cmp.Diff(first.Check(f), second.Check(f)); diff != "" {
				t.Fatalf("verdict on %d (-want +got):\n%s", f, diff)
			}
		}
	})
}
