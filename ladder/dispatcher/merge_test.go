package dispatcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Of two attempts that did not complete, the merged outcome is NotRun only if
// neither attempt may have run.
func TestMerge_NotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	refused, unknown := NotRun{Code: CodeCrashesTargets}, Unknown{Code: CodeTimeout}
	cases := []struct {
		name       string
		a, b       Outcome
		mayHaveRun bool
		want       Outcome
	}{
		{"both refused permanently", refused, refused, false, refused},
		{"one refused permanently, one to be retried", refused, nil, false, refused},
		{"one refused permanently, the other may have run", refused, nil, true, nil},
		{"one refused permanently, the other unknown", refused, unknown, false, unknown},
		{"one unknown, the other refused permanently", unknown, refused, false, unknown},
		{"both to be retried", nil, nil, false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &progress{}
			got := s.merge([]attemptOutcome{{c.a, &progress{}}, {c.b, &progress{mayHaveRun: c.mayHaveRun}}})
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if s.mayHaveRun != c.mayHaveRun {
				t.Errorf("may have run: %v, want %v", s.mayHaveRun, c.mayHaveRun)
			}
		})
	}
}
