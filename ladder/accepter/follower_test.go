package accepter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

const (
	retention    = 4 * time.Hour
	pollInterval = 30 * time.Second
)

// cluster is a log and the followers of several entries, running on virtual
// time.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	clock     clockwork.Clock
	log       *faker.Log
	tasks     conc.WaitGroup
	followers []*Follower
}

func runCluster(t *testing.T, run func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, clock: clockwork.NewRealClock()}
		c.log = faker.NewLog(c.clock, faker.LogOptions{Retention: retention, Poll: pollInterval})
		defer c.tasks.Wait()
		defer cancel()
		run(c)
	})
}

// addEntry starts the follower of another entry.
func (c *cluster) addEntry(peers Peers) *Follower { return c.addEntryOn(c.log, peers) }

func (c *cluster) addEntryOn(log appender.Log, peers Peers) *Follower {
	random := rand.New(rand.NewPCG(1, uint64(len(c.followers))))
	f := NewFollower(c.clock, log, peers, random, Options{Retention: retention})
	c.followers = append(c.followers, f)
	c.tasks.Go(func() { f.Run(c.ctx) })
	return f
}

func (c *cluster) publish(f *Follower, id string, base identifier.Revision) (Verdict, error) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
	defer cancel()
	return f.Publish(ctx, newDocument(id, base, 2, 1, 2))
}

// assertRevision checks the revision in force at each follower; 0 means none.
func (c *cluster) assertRevision(what string, revision identifier.Revision, followers ...*Follower) {
	c.t.Helper()
	synctest.Wait()
	for n, f := range followers {
		s, _ := f.State()
		if diff := cmp.Diff(revision, s.Revision); diff != "" {
			c.t.Errorf("%s: revision in force at %d (-want +got):\n%s", what, n, diff)
		}
	}
}

// countCheckpoints returns the number of checkpoints in the log.
func (c *cluster) countCheckpoints() int {
	page, _ := c.log.Read(c.ctx, appender.StreamConfiguration, 0, 1<<20)
	n := 0
	for _, record := range page.Records {
		if r, err := DecodeRecord(record.Data); err == nil {
			if _, ok := r.(Checkpoint); ok {
				n++
			}
		}
	}
	return n
}

func TestFollower_StateOutlivesRetention(t *testing.T) {
	const entries = 40
	runCluster(t, func(c *cluster) {
		for range entries {
			c.addEntry(nil)
		}
		time.Sleep(pollInterval)
		for n := range 3 {
			if v, err := c.publish(c.followers[n], fmt.Sprint("document-", n), identifier.Revision(n)); err != nil || v != (Accepted{Revision: identifier.Revision(n + 1)}) {
				t.Fatal(v, err)
			}
		}
		for range 5 {
			time.Sleep(retention)
			late := c.addEntry(nil)
			time.Sleep(time.Minute)
			c.assertRevision("late entry", 3, late, c.followers[0])
			// Delays are random, so that entries sometimes write at the same
			// time.
			if n := c.countCheckpoints(); n < checkpointsPerRetention-1 || n > 3*checkpointsPerRetention {
				t.Errorf("%d checkpoints in the log, want about %d", n, checkpointsPerRetention)
			}
		}
	})
}

func TestFollower_LogUnavailableLongerThanRetention(t *testing.T) {
	runCluster(t, func(c *cluster) {
		first, second := c.addEntry(nil), c.addEntry(nil)
		time.Sleep(pollInterval)
		if _, err := c.publish(first, "document", 0); err != nil {
			t.Fatal(err)
		}
		// The outage must not begin before the second entry has read the record.
		synctest.Wait()
		c.log.SetDown(true)
		time.Sleep(2 * retention)
		c.assertRevision("running", 1, first, second)
		if v, err := c.publish(first, "another", 1); err == nil {
			t.Errorf("published while the log was down: %v", v)
		}
		withPeers := c.addEntry(peersFunc(func() (State, error) { s, _ := second.State(); return s, nil }))
		withoutPeers := c.addEntry(nil)
		time.Sleep(time.Second)
		c.assertRevision("new entry with peers", 1, withPeers)
		c.assertRevision("new entry without peers", 0, withoutPeers)
		c.log.SetDown(false)
		time.Sleep(time.Second)
		c.assertRevision("new entry without peers, log available again", 0, withoutPeers)
		time.Sleep(retention / checkpointsPerRetention)
		c.assertRevision("checkpoint written after the outage", 1, first, second, withPeers, withoutPeers)
		if v, err := c.publish(withoutPeers, "another", 1); err != nil || v != (Accepted{Revision: 2}) {
			t.Errorf("not published after the outage: %v, %v", v, err)
		}
		c.assertRevision("after the outage", 2, first, second, withPeers, withoutPeers)
	})
}

// lossyLog performs every append but loses the response.
type lossyLog struct{ appender.Log }

func (l lossyLog) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	if _, err := l.Log.Append(ctx, stream, records); err != nil {
		return 0, err
	}
	return 0, appender.ErrOutcomeUnknown
}

func TestPublish_SameDocumentAtSeveralEntriesAcceptedOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		for range 3 {
			c.addEntryOn(lossyLog{c.log}, nil)
		}
		time.Sleep(pollInterval)
		var tasks conc.WaitGroup
		verdicts := make([]Verdict, 2*len(c.followers))
		for n := range verdicts {
			tasks.Go(func() { verdicts[n], _ = c.publish(c.followers[n/2], "document", 0) })
		}
		tasks.Wait()
		for _, v := range verdicts {
			if diff := cmp.Diff(Verdict(Accepted{Revision: 1}), v); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		}
		c.assertRevision("after publishing at every entry", 1, c.followers...)
		if _, err := c.publish(c.followers[0], "next", 1); err != nil {
			t.Error(err)
		}
		time.Sleep(retention + time.Hour)
		late := c.addEntry(nil)
		time.Sleep(time.Second)
		v, err := c.publish(late, "document", 0)
		if diff := cmp.Diff(Verdict(Accepted{Revision: 1}), v); diff != "" || err != nil {
			t.Errorf("retried later: %v (-want +got):\n%s", err, diff)
		}
		c.assertRevision("after the retry", 2, c.followers...)
	})
}
