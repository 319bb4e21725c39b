package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against scoring calls that all rank alike: due and groupLeft tell the admitter which
// job and which group needs its scores first.
func TestGroupLeft_FallsAsItemsOfTheGroupHaveResults(t *testing.T) {
	b := func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
		b := healthy()
		b.Events = 20 + 20*(n%4)
		return b
	}
	inTestEnv(t, false, b, func(t *testing.T, env *testEnv) {
		n := 0
		env.submitWith(t, "j", 2, 8, func(i *jobstorer.Item) {
			i.Group = []identifier.GroupID{"g", "h"}[n%2]
			n++
		})
		time.Sleep(200 * time.Millisecond)
		env.mutex.Lock()
		var one *task
		for _, other := range env.tasks {
			one = other
		}
		env.mutex.Unlock()
		one.route.ResultsDue = time.Minute
		if diff := cmp.Diff(one.job.acceptedAt.Add(time.Minute), one.due()); diff != "" {
			t.Error(diff)
		}
		left := one.groupLeft()
		counts := []int{left()}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if n := left(); n != counts[len(counts)-1] {
				counts = append(counts, n)
			}
		}
		if counts[0] != 4 || counts[len(counts)-1] != 0 || len(counts) < 3 {
			t.Errorf("left %v", counts)
		}
	})
}
