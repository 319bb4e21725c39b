package dispatcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Two attempts that haven't completed are called not run only if neither may
// have run.
func TestMerge_NotRunIsTruthful(t *testing.T) {
	refused, gaveUp := NotRun{Code: CodeCrashesTargets}, Unknown{Code: CodeTimeout}
	cases := []struct {
		name       string
		a, b       Outcome
		mayHaveRun bool
		want       Outcome
	}{
		{"both refused for good", refused, refused, false, refused},
		{"one refused for good, one to be tried elsewhere", refused, nil, false, refused},
		{"one refused for good, the other may have run", refused, nil, true, nil},
		{"one refused for good, the other given up", refused, gaveUp, false, gaveUp},
		{"one given up, the other refused for good", gaveUp, refused, false, gaveUp},
		{"both to be tried elsewhere", nil, nil, false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &progress{}
			got := s.merge([]raced{{c.a, &progress{}}, {c.b, &progress{mayHaveRun: c.mayHaveRun}}})
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if s.mayHaveRun != c.mayHaveRun {
				t.Errorf("may have run: %v, want %v", s.mayHaveRun, c.mayHaveRun)
			}
		})
	}
}
