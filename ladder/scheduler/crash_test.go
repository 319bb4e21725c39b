package scheduler

import (
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against items, or their scoring calls, that are never sent again because several
// targets crashed while they ran them.
func TestRun_ItemsThatMetCrashesAreStillOwed(t *testing.T) {
	const items = 6
	for name, crashing := range map[string]identifier.ServiceName{"engines crash": "engines", "scorers crash": "scorers"} {
		t.Run(name, func(t *testing.T) {
			var calmAt time.Time
			crash := func(to cataloger.Target, healthy faker.Behaviour) faker.Behaviour {
				if to.Service == crashing && time.Now().Before(calmAt) {
					return faker.Behaviour{Delay: 5 * time.Millisecond, BreaksOff: true}
				}
				return healthy
			}
			engines := func(to cataloger.Target, _ sender.Call, _ int) faker.Behaviour { return crash(to, healthy()) }
			inTestEnv(t, false, engines, func(t *testing.T, env *testEnv) {
				env.scorers = func(to cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
					return crash(to, faker.Behaviour{Delay: 50 * time.Millisecond})
				}
				var records []storer.Record
				for _, name := range []string{"a", "b", "c", "d", "e"} {
					records = append(records, storer.Record{Key: name, Value: []byte("engines")}, storer.Record{Key: "scorer-" + name, Value: []byte("scorers")})
				}
				env.catalog.TargetSink().Reset(records)
				calmAt = time.Now().Add(3 * time.Second)
				env.submit(t, items)
				time.Sleep(3*time.Second + 6*time.Second)
				if n := len(env.results(t)); n != items {
					t.Errorf("%d of %d items are done 6 s after the last crash", n, items)
				}
			})
		})
	}
}
