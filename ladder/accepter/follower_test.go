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
	retention = 4 * time.Hour
	poll      = 30 * time.Second
)

// bubble is a log with the followers of some entries, in virtual time.
type bubble struct {
	t         *testing.T
	ctx       context.Context
	clock     clockwork.Clock
	log       *faker.Log
	tasks     conc.WaitGroup
	followers []*Follower
}

func inBubble(t *testing.T, run func(b *bubble)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bubble{t: t, ctx: ctx, clock: clockwork.NewRealClock()}
		b.log = faker.NewLog(b.clock, faker.LogOptions{Retention: retention, Poll: poll})
		defer b.tasks.Wait()
		defer cancel()
		run(b)
	})
}

// join starts one more entry.
func (b *bubble) join(peers Peers) *Follower { return b.joinOn(b.log, peers) }

func (b *bubble) joinOn(log appender.Log, peers Peers) *Follower {
	random := rand.New(rand.NewPCG(1, uint64(len(b.followers))))
	f := NewFollower(b.clock, log, peers, random, Options{Retention: retention})
	b.followers = append(b.followers, f)
	b.tasks.Go(func() { f.Run(b.ctx) })
	return f
}

func (b *bubble) publish(f *Follower, id string, base identifier.Revision) (Verdict, error) {
	ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
	defer cancel()
	return f.Publish(ctx, newDocument(id, base, 2, 1, 2))
}

// expect compares the revision in force, 0 for none, at each follower.
func (b *bubble) expect(what string, revision identifier.Revision, followers ...*Follower) {
	b.t.Helper()
	synctest.Wait()
	for n, f := range followers {
		s, _ := f.State()
		if diff := cmp.Diff(revision, s.Revision); diff != "" {
			b.t.Errorf("%s: revision in force at %d (-want +got):\n%s", what, n, diff)
		}
	}
}

// carries counts the carry-forward records that the log has.
func (b *bubble) carries() int {
	page, _ := b.log.Read(b.ctx, appender.StreamConfiguration, 0, 1<<20)
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

func TestFollower_OutlivesRetention(t *testing.T) {
	const entries = 40
	inBubble(t, func(b *bubble) {
		for range entries {
			b.join(nil)
		}
		time.Sleep(poll)
		for n := range 3 {
			if v, err := b.publish(b.followers[n], fmt.Sprint("document-", n), identifier.Revision(n)); err != nil || v != (Accepted{Revision: identifier.Revision(n + 1)}) {
				t.Fatal(v, err)
			}
		}
		for range 5 {
			time.Sleep(retention)
			late := b.join(nil)
			time.Sleep(time.Minute)
			b.expect("late entry", 3, late, b.followers[0])
			// One an interval is enough; a few may meet.
			if n := b.carries(); n < carriesPerRetention-1 || n > 3*carriesPerRetention {
				t.Errorf("%d carry-forward records in the log, want about %d", n, carriesPerRetention)
			}
		}
	})
}

func TestFollower_LogDownForLongerThanRetention(t *testing.T) {
	inBubble(t, func(b *bubble) {
		first, second := b.join(nil), b.join(nil)
		time.Sleep(poll)
		if _, err := b.publish(first, "document", 0); err != nil {
			t.Fatal(err)
		}
		b.log.SetDown(true)
		time.Sleep(2 * retention)
		b.expect("running", 1, first, second)
		if v, err := b.publish(first, "another", 1); err == nil {
			t.Errorf("published while the log was down: %v", v)
		}
		asking := b.join(peersFunc(func() (State, error) { s, _ := second.State(); return s, nil }))
		alone := b.join(nil)
		time.Sleep(time.Second)
		b.expect("new, with peers", 1, asking)
		b.expect("new, without peers", 0, alone)
		b.log.SetDown(false)
		time.Sleep(time.Second)
		b.expect("new, without peers, log back", 0, alone)
		time.Sleep(retention / carriesPerRetention)
		b.expect("carried forward after the outage", 1, first, second, asking, alone)
		if v, err := b.publish(alone, "another", 1); err != nil || v != (Accepted{Revision: 2}) {
			t.Errorf("not published after the outage: %v, %v", v, err)
		}
		b.expect("after the outage", 2, first, second, asking, alone)
	})
}

// lossyLog takes every append and loses the answer.
type lossyLog struct{ appender.Log }

func (l lossyLog) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	if _, err := l.Log.Append(ctx, stream, records); err != nil {
		return 0, err
	}
	return 0, appender.ErrOutcomeUnknown
}

func TestPublish_SameDocumentAtManyEntriesIsAcceptedOnce(t *testing.T) {
	inBubble(t, func(b *bubble) {
		for range 3 {
			b.joinOn(lossyLog{b.log}, nil)
		}
		time.Sleep(poll)
		var tasks conc.WaitGroup
		verdicts := make([]Verdict, 2*len(b.followers))
		for n := range verdicts {
			tasks.Go(func() { verdicts[n], _ = b.publish(b.followers[n/2], "document", 0) })
		}
		tasks.Wait()
		for _, v := range verdicts {
			if diff := cmp.Diff(Verdict(Accepted{Revision: 1}), v); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		}
		b.expect("once", 1, b.followers...)
		if _, err := b.publish(b.followers[0], "next", 1); err != nil {
			t.Error(err)
		}
		time.Sleep(retention + time.Hour)
		late := b.join(nil)
		time.Sleep(time.Second)
		v, err := b.publish(late, "document", 0)
		if diff := cmp.Diff(Verdict(Accepted{Revision: 1}), v); diff != "" || err != nil {
			t.Errorf("asked again later: %v (-want +got):\n%s", err, diff)
		}
		b.expect("not accepted again", 2, b.followers...)
	})
}
