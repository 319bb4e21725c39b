package executor_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// A heartbeat revision confirms the Configuration sent by the same entry, not
// one that another entry sent since. Entry one sees revisions 4 and 6, whose
// configurations for this sidecar are equal; entry two sees revision 5, which
// differs.
func TestHeartbeat_ConfirmsWhatItsOwnEntrySent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newExecutor(clockwork.NewRealClock(), nil, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		one, two := link(ctx, e), link(ctx, e)
		same := messenger.Configuration{Revision: 4, Slots: 8, QueueLimit: 16}
		other := messenger.Configuration{Revision: 5, Slots: 2, QueueLimit: 16}
		steps := []struct {
			link    messenger.Link
			message messenger.Message
			want    messenger.Configuration
		}{
			{one, same, same},
			{two, other, other},
			{one, messenger.Heartbeat{Revision: 4}, other},
			{one, messenger.Heartbeat{Revision: 6}, messenger.Configuration{Revision: 6, Slots: 8, QueueLimit: 16}},
			{two, messenger.Heartbeat{Revision: 5}, messenger.Configuration{Revision: 6, Slots: 8, QueueLimit: 16}},
		}
		for n, s := range steps {
			if err := s.link.Send(ctx, s.message); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if diff := cmp.Diff(s.want, e.Configuration()); diff != "" {
				t.Errorf("after step %d (-want +got):\n%s", n, diff)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// link connects an entry to the executor and returns the entry's end. Messages
// received there are discarded.
func link(ctx context.Context, e *executor.Executor) messenger.Link {
	entryLink := serve(ctx, e)
	go func() {
		for {
			if _, err := entryLink.Receive(ctx); err != nil {
				return
			}
		}
	}()
	return entryLink
}
