package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
)

// network connects entries in memory.
type network struct {
	ctx   context.Context
	tasks *conc.WaitGroup
	hosts map[string]*entry
	// silent entries receive queries but do not answer.
	silent map[string]bool
	// unanswered are the calls that no entry answers.
	unanswered map[messenger.JobVerb]bool
	// accounts is set if accounts are in force, except at the entries in outdated.
	accounts bool
	// outdated entries have an older configuration without accounts.
	outdated map[string]bool
	store    *faker.Store
}

// entry is one entry; it owns either all partitions or none.
type entry struct {
	*Relayer
	jobStorer *jobstorer.JobStorer
	owns      bool
}

func (e *entry) Owns(identifier.PartitionNumber) bool { return e.owns }

func (e *entry) OwnerOf(identifier.PartitionNumber) (joiner.Member, bool) {
	return "owner", true
}

func (n *network) Dial(_ context.Context, address string) (messenger.Link, error) {
	e, ok := n.hosts[address]
	if !ok {
		return nil, messenger.ErrClosed
	}
	here, there := messenger.NewPipe()
	n.tasks.Go(func() {
		querier.Serve(n.ctx, there, func(ctx context.Context, q messenger.Question) messenger.Reply {
			if n.silent[address] || n.unanswered[q.Job.Verb] {
				<-ctx.Done()
			}
			a := e.Answer(ctx, *q.Job)
			return messenger.Reply{Job: &a}
		})
		there.Close()
	})
	return here, nil
}

// inBubble runs f with an entry that owns all jobs and another one.
func inBubble(t *testing.T, f func(ctx context.Context, n *network, owner, other *entry)) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var tasks conc.WaitGroup
		clock := clockwork.NewRealClock()
		store := faker.NewStore(clock)
		n := &network{ctx: ctx, tasks: &tasks, hosts: make(map[string]*entry), silent: make(map[string]bool), unanswered: make(map[messenger.JobVerb]bool), outdated: make(map[string]bool), store: store}
		for _, name := range []string{"owner", "other"} {
			e := &entry{owns: name == "owner"}
			e.jobStorer = jobstorer.New(clock, store, jobstorer.Options{
				Topic: "jobs", Partitions: 1, MaxRecordBytes: 256 << 10, MaxAppendBytes: 2 << 20, Retention: time.Minute, RoomBytes: roomBytes,
				SinceStoreAnswer: func() time.Duration { return 0 },
			})
			e.Relayer = New(e.jobStorer, e, querier.New(clock, n), joiner.Member(name), func() bool { return n.accounts && !n.outdated[name] })
			tasks.Go(func() { e.jobStorer.Run(ctx, e.Owns) })
			n.hosts[name] = e
		}
		f(ctx, n, n.hosts["owner"], n.hosts["other"])
		cancel()
		tasks.Wait()
		time.Sleep(time.Minute)
	})
}

func submit(t *testing.T, ctx context.Context, e *entry) {
	t.Helper()
	if err := e.Accept(ctx, jobstorer.Submission{ID: "j", Items: []jobstorer.Item{{ID: "i", Body: []byte("body")}}}); err != nil {
		t.Fatal(err)
	}
}

func TestResults_AnyEntryAnswersAlike(t *testing.T) {
	inBubble(t, func(ctx context.Context, _ *network, owner, other *entry) {
		submit(t, ctx, other)
		time.Sleep(time.Second)
		owner.jobStorer.AddResult(jobstorer.JobResult{Job: "j", Result: jobstorer.Result{Item: "i", State: jobstorer.ResultCompleted, Text: []byte("x")}})
		time.Sleep(time.Second)
		var pages []jobstorer.ResultPage
		for _, e := range []*entry{owner, other} {
			page, err := e.Results(ctx, "", "j", 0, 0, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			pages = append(pages, page)
			body, err := e.Body(ctx, "", "j", "i")
			if string(body) != "body" || err != nil {
				t.Errorf("body %q, %v", body, err)
			}
			if _, err := e.Body(ctx, "", "j", "other"); !errors.Is(err, jobstorer.ErrUnknownJob) {
				t.Errorf("another item: %v", err)
			}
			if err := e.End(ctx, "", "unknown"); !errors.Is(err, jobstorer.ErrUnknownJob) {
				t.Errorf("ending an unknown job: %v", err)
			}
		}
		if diff := cmp.Diff(pages[0], pages[1]); diff != "" || len(pages[0].Results) != 1 {
			t.Errorf("%d results, then %s", len(pages[0].Results), diff)
		}
	})
}

func TestResults_FromTheStoreWhileTheOwnerIsSilent(t *testing.T) {
	inBubble(t, func(ctx context.Context, n *network, owner, other *entry) {
		submit(t, ctx, owner)
		time.Sleep(time.Second)
		n.silent["owner"] = true
		for range 3 {
			start := time.Now()
			page, err := other.Results(ctx, "", "j", 0, 0, 1<<20)
			if err != nil || page.Total != 1 {
				t.Errorf("%+v, %v", page, err)
			}
			if took := time.Since(start); took > answerMargin+time.Second {
				t.Errorf("took %s", took)
			}
		}
		if err := other.End(ctx, "", "j"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if owner.jobStorer.AwaitsResult("j", "i") {
			t.Error("the owner does not know that the job has ended")
		}
	})
}
