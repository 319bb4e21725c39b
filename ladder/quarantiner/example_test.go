package quarantiner_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
)

// A request that was running at two targets when each crashed is refused for a time.
func Example() {
	q := quarantiner.New(clockwork.NewFakeClock())
	q.SetCrashRetention(5 * time.Minute)
	poison := identifier.NewFingerprint("advice-models", "generate", []byte(`{"prompt":"…"}`))
	for _, boot := range []string{"", "boot-1", "boot-2"} {
		if boot != "" {
			q.RecordCrash(messenger.Crashed{Target: identifier.TargetName("engine-" + boot), BootID: boot, Fingerprints: []identifier.Fingerprint{poison}})
		}
		switch q.Check(poison).(type) {
		case quarantiner.Free:
			fmt.Println("runs beside others")
		case quarantiner.Alone:
			fmt.Println("runs alone")
		case quarantiner.Refused:
			fmt.Println("refused")
		}
	}
	// Output:
	// runs beside others
	// runs alone
	// refused
}
