package scheduler

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/blocklister"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/draftcacher"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/relayer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// plain decodes the records of the tests: a target's value is its service, and any
// key but that of the configuration names version 3.
type plain struct{ configuration *cataloger.Configuration }

func (p plain) Published(key string, _ []byte) (cataloger.PublishedRecord, error) {
	if key != "config" {
		return cataloger.DesiredVersion{Model: "m", Version: 3}, nil
	}
	return p.configuration, nil
}

func (plain) Target(key string, value []byte) (cataloger.Target, error) {
	return cataloger.Target{
		Name: identifier.TargetName(key), Service: identifier.ServiceName(value), State: cataloger.StateReady, Slots: 4,
		Weights: map[identifier.ModelName]identifier.WeightVersion{"m": 2},
	}, nil
}

const pace = 30 * time.Millisecond

// world is one entry that works on every job, with its targets.
type world struct {
	clock   clockwork.Clock
	store   *faker.Store
	group   *faker.Group
	targets *faker.Targets
	catalog *cataloger.Cataloger
	*entry
	// others are entries that were started later.
	others []*entry
}

// entry is one process that may work on jobs.
type entry struct {
	*Scheduler
	books   *jobstorer.JobStorer
	drafter *draftcacher.DraftCacher
	// resign gives its partitions up, stop ends it.
	resign, stop func()
}

// Ask implements relayer.Peers: any address is the first entry's.
func (w *world) Ask(ctx context.Context, _ string, q messenger.Question) (messenger.Reply, error) {
	w.HandOver(ctx, q.Drafts.Job)
	return messenger.Reply{Drafts: w.drafter.Drafts(q.Drafts.Model)}, nil
}

type behave = func(t cataloger.Target, c sender.Call, n int) faker.Behaviour

// newWorld has engines a, b and c and two scorers; b decides on the engines.
func newWorld(single bool, b behave) *world {
	clock := clockwork.NewRealClock()
	configuration := &cataloger.Configuration{
		Version: 1,
		Routes: []cataloger.Route{
			{Name: "jobs", Host: "h", PathPrefix: "/p/", Kind: cataloger.KindBatch, Shares: []cataloger.TrafficShare{{Service: "engines", Weight: 1}}, MaxAttempts: 3, SingleVersion: single, GiveUpAfter: 40 * time.Second},
			{Name: "scores", Host: "h", PathPrefix: "/s/", Kind: cataloger.KindIdempotent, Shares: []cataloger.TrafficShare{{Service: "scorers", Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second},
		},
		Services: map[identifier.ServiceName]cataloger.Service{"engines": {Name: "engines", Engine: &cataloger.Engine{Slots: 4}}, "scorers": {Name: "scorers"}},
	}
	w := &world{clock: clock, store: faker.NewStore(clock), group: faker.NewGroup(clock, 2), catalog: cataloger.New(clock, plain{configuration})}
	w.catalog.PublishedSink().Reset([]storer.Record{{Key: "config", Value: []byte("x")}})
	w.catalog.TargetSink().Reset([]storer.Record{
		{Key: "a", Value: []byte("engines")},
		{Key: "b", Value: []byte("engines")},
		{Key: "c", Value: []byte("engines")},
		{Key: "x", Value: []byte("scorers")},
		{Key: "y", Value: []byte("scorers")},
	})
	w.targets = faker.NewTargets(clock, func(t cataloger.Target, c sender.Call, n int) faker.Behaviour {
		if t.Service == "scorers" {
			return faker.Behaviour{Delay: 50 * time.Millisecond}
		}
		return b(t, c, n)
	})
	w.entry = w.newEntry("self", nil)
	time.Sleep(2 * time.Second)
	return w
}

// newEntry starts an entry that asks the addresses for drafts. One entry works.
func (w *world) newEntry(name joiner.Member, addresses []string) *entry {
	return w.newEntryOf(name, addresses, 1)
}

// newEntryOf starts one of some entries that are to work.
func (w *world) newEntryOf(name joiner.Member, addresses []string, wanted int) *entry {
	e := &entry{}
	e.books = jobstorer.New(w.clock, w.store, jobstorer.Options{
		Topic: "jobs", Partitions: 2, MaxRecordBytes: 256 << 10, MaxAppendBytes: 2 << 20, Retention: time.Minute,
		SinceStoreAnswer: func() time.Duration { return 0 },
	})
	random := router.NewSharedRandom(1)
	f := forwarder.New(w.clock, w.catalog, w.targets, blocklister.New(w.clock, w.store, storer.Partition{Topic: "breaks"}), random)
	e.drafter = draftcacher.New(w.clock, e.books)
	collector := relayer.NewDraftCollector(e.drafter.Drafts, func(identifier.JobID) []string { return addresses }, w)
	owner := joiner.New(w.clock, w.group.Member(name), joiner.Options{
		Self: name, JoinPolicy: joiner.JoinWhenNeeded, WantedMembers: func() int { return wanted }, Random: random, Renewal: joiner.WorkRenewal,
	}, func() { e.Wake() })
	e.Scheduler = New(w.clock, w.catalog, e.books, owner, w.targets, f, drafts{e.drafter, collector}, random)
	working, end := context.WithCancel(context.Background())
	member, resign := context.WithCancel(working)
	var tasks conc.WaitGroup
	tasks.Go(func() { owner.Run(member) })
	tasks.Go(func() { e.books.Run(working, owner.Owns) })
	tasks.Go(func() { e.Run(working) })
	e.resign = resign
	e.stop = func() { end(); tasks.Wait() }
	return e
}

// drafts are those of the entry itself.
type drafts struct {
	*draftcacher.DraftCacher
	*relayer.DraftCollector
}

// submit hands in the job j of n items.
func (w *world) submit(t *testing.T, n int) {
	t.Helper()
	w.submitAs(t, "j", 2, n)
}

// submitAs hands in a job of n items, whose ids are those of any other job.
func (w *world) submitAs(t *testing.T, id identifier.JobID, oldest identifier.WeightVersion, n int) {
	t.Helper()
	w.submitWith(t, id, oldest, n, func(*jobstorer.Item) {})
}

// submitWith hands in such a job, whose items change alters.
func (w *world) submitWith(t *testing.T, id identifier.JobID, oldest identifier.WeightVersion, n int, change func(i *jobstorer.Item)) {
	t.Helper()
	s := jobstorer.Submission{ID: id, Host: "h", Path: "/p/", Model: "m", MinVersion: oldest}
	for k := range n {
		s.Items = append(s.Items, jobstorer.Item{
			ID: identifier.ItemID(fmt.Sprintf("i%02d", k)), Path: "/p/x", MaxTokens: 100,
			Scorer: &jobstorer.Scorer{ID: fmt.Sprintf("s%02d", k), Host: "h", Path: "/s/x"},
		})
		change(&s.Items[k])
	}
	if err := w.books.Accept(context.Background(), s); err != nil {
		t.Fatal(err)
	}
}

func (w *world) results(t *testing.T) map[identifier.ItemID]jobstorer.Result {
	t.Helper()
	return w.resultsOf(t, "j")
}

func (w *world) resultsOf(t *testing.T, id identifier.JobID) map[identifier.ItemID]jobstorer.Result {
	t.Helper()
	v, err := w.books.Results(context.Background(), id, 0, 0, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	results := make(map[identifier.ItemID]jobstorer.Result)
	for _, r := range v.Results {
		results[r.Item] = r
	}
	return results
}

func wholeText(events int) []byte {
	var pieces [][]byte
	for n := range events {
		pieces = append(pieces, faker.EventData(identifier.EventNumber(n+1)))
	}
	return bytes.Join(pieces, []byte("\n"))
}

func inWorld(t *testing.T, single bool, b behave, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(single, b)
		f(t, w)
		w.stop()
		for _, e := range w.others {
			e.stop()
		}
	})
}

func good() faker.Behaviour { return faker.Behaviour{Events: 20, Gap: pace, Version: 2} }

func TestRun_WholeTextsWithScoresAndVersions(t *testing.T) {
	cases := map[string]behave{
		"all well": func(cataloger.Target, sender.Call, int) faker.Behaviour { return good() },
		"every third stream breaks off": func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
			b := good()
			if n%3 == 0 {
				b.BreakAfter = identifier.EventNumber(1 + n%17)
			}
			return b
		},
		"one engine is silent": func(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
			b := good()
			b.Silent = target.Name == "a"
			return b
		},
		"one engine stalls in the middle": func(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
			b := good()
			if target.Name == "a" {
				b.Gap = 20 * time.Second
			}
			return b
		},
		"one engine refuses, one can't be reached": func(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
			b := good()
			b.NotRun, b.NotSent = target.Name == "a", target.Name == "b"
			if b.NotRun {
				b.Events, b.Status = 0, http.StatusServiceUnavailable
			}
			return b
		},
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, false, b, func(t *testing.T, w *world) {
				w.submit(t, 24)
				time.Sleep(15 * time.Second)
				results := w.results(t)
				for n := range 24 {
					id := identifier.ItemID(fmt.Sprintf("i%02d", n))
					r := results[id]
					r.Score = ""
					want := jobstorer.Result{Item: id, State: jobstorer.ResultCompleted, Text: wholeText(20), Versions: []identifier.WeightVersion{2}}
					if diff := cmp.Diff(want, r); diff != "" {
						t.Errorf("%s: %s", id, diff)
					}
					if results[id].Score == "" {
						t.Errorf("%s has no score", id)
					}
				}
				if w.targets.Running() != 0 {
					t.Errorf("%d streams are still open", w.targets.Running())
				}
			})
		})
	}
}

// slowAtA takes 12 s for a text at engine a, and 3 s at the others.
func slowAtA(target cataloger.Target, _ sender.Call, _ int) faker.Behaviour {
	b := faker.Behaviour{Events: 100, Gap: pace, Version: 2}
	if target.Name == "a" {
		b.Gap = 4 * pace
	}
	return b
}

func TestRun_ALongItemLeavesASlowEngine(t *testing.T) {
	inWorld(t, false, slowAtA, func(t *testing.T, w *world) {
		w.submit(t, 6)
		time.Sleep(5 * time.Second)
		if n := len(w.results(t)); n != 6 {
			t.Errorf("%d of 6 items are done after 5 s; a slow engine alone takes 12 s", n)
		}
	})
}

func TestRun_ItemsThatFailAreGivenUpInTime(t *testing.T) {
	for status, most := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		inWorld(t, false, func(cataloger.Target, sender.Call, int) faker.Behaviour { return faker.Behaviour{Status: status} }, func(t *testing.T, w *world) {
			w.submit(t, 1)
			time.Sleep(10 * time.Second)
			want := map[identifier.ItemID]jobstorer.Result{"i00": {Item: "i00", State: jobstorer.ResultFailed}}
			if diff := cmp.Diff(want, w.results(t)); diff != "" {
				t.Error(diff)
			}
			if n := len(w.targets.Calls()); n != most {
				t.Errorf("status %d: run %d times, want %d", status, n, most)
			}
		})
	}
}

func TestRun_ASingleVersionIsNeverMixed(t *testing.T) {
	// The weights change under the first run of each item.
	seen := make(map[string]bool)
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		b := good()
		b.Version = 3
		if !seen[c.ID] {
			seen[c.ID], b.Version, b.BreakAfter = true, 2, 5
		}
		return b
	}
	inWorld(t, true, b, func(t *testing.T, w *world) {
		w.submit(t, 4)
		time.Sleep(15 * time.Second)
		for id, r := range w.results(t) {
			if len(r.Versions) != 1 || !bytes.Equal(r.Text, wholeText(20)) {
				t.Errorf("%s: versions %v, %d bytes", id, r.Versions, len(r.Text))
			}
		}
		if n := len(w.results(t)); n != 4 {
			t.Errorf("%d results", n)
		}
	})
}

func TestRun_NothingIsSentAfterTheEnd(t *testing.T) {
	long := func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: 300, Gap: pace, Version: 2, BreakAfter: 40}
	}
	inWorld(t, false, long, func(t *testing.T, w *world) {
		w.submit(t, 30)
		time.Sleep(time.Second)
		if err := w.books.End(context.Background(), "j"); err != nil {
			t.Fatal(err)
		}
		ended := time.Now()
		time.Sleep(10 * time.Second)
		for _, c := range w.targets.Calls() {
			if c.At.After(ended.Add(500 * time.Millisecond)) {
				t.Errorf("item %s was sent %s after the end", c.Call.ID, c.At.Sub(ended))
			}
		}
		if w.targets.Running() != 0 {
			t.Errorf("%d streams are still open", w.targets.Running())
		}
	})
}

func TestRun_NothingIsSentFromAnOldCopy(t *testing.T) {
	inWorld(t, false, func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: 100, Gap: pace, Version: 2, BreakAfter: 30}
	}, func(t *testing.T, w *world) {
		w.submit(t, 30)
		time.Sleep(500 * time.Millisecond)
		w.store.SetDown(true)
		cut := time.Now()
		time.Sleep(12 * time.Second)
		for _, c := range w.targets.Calls() {
			if age := c.At.Sub(cut); age > 3*time.Second {
				t.Errorf("item %s was sent %s after the last news", c.Call.ID, age)
			}
		}
	})
}

// A job may be ended right after the last news of it. What is sent from then on
// is given up after firstTimeout, and must not reach a target later than 3 s
// after the end.
func TestRun_WhatIsSentWithoutNewsReachesItsTargetInTime(t *testing.T) {
	const bound = 3 * time.Second
	inWorld(t, false, func(cataloger.Target, sender.Call, int) faker.Behaviour {
		return faker.Behaviour{Events: 300, Gap: pace, Version: 2, BreakAfter: 3}
	}, func(t *testing.T, w *world) {
		w.submitAs(t, "j", 2, 30)
		time.Sleep(500 * time.Millisecond)
		w.submitAs(t, "k", 2, 30)
		time.Sleep(10 * time.Millisecond)
		w.store.SetDown(true)
		news := time.Now()
		time.Sleep(6 * time.Second)
		sent := 0
		for _, c := range w.targets.Calls() {
			age := c.At.Sub(news)
			if age > 0 {
				sent++
			}
			if age+firstTimeout > bound {
				t.Errorf("item %s was sent %s after the last news", c.Call.ID, age)
			}
		}
		if sent == 0 {
			t.Error("nothing was sent without news")
		}
	})
}

// While the store is away nothing is sent, so that what leaves a slow engine
// would wait until the store is back.
func TestRun_ALongItemStaysOnASlowEngineWhileTheStoreIsAway(t *testing.T) {
	inWorld(t, false, slowAtA, func(t *testing.T, w *world) {
		w.submit(t, 3)
		time.Sleep(100 * time.Millisecond)
		w.store.SetDown(true)
		time.Sleep(12500 * time.Millisecond)
		w.store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		if n := len(w.results(t)); n != 3 {
			t.Errorf("%d of 3 items are listed 1.5 s after the store is back; the slow one takes 12 s", n)
		}
	})
}

func TestRun_AnUnexpectedErrorInOneRunHurtsNoItem(t *testing.T) {
	b := func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
		b := good()
		b.Panics = n%5 == 2
		return b
	}
	inWorld(t, false, b, func(t *testing.T, w *world) {
		w.submit(t, 24)
		time.Sleep(15 * time.Second)
		results := w.results(t)
		for id, r := range results {
			if !bytes.Equal(r.Text, wholeText(20)) || r.Score == "" {
				t.Errorf("%s: %d bytes, score %q", id, len(r.Text), r.Score)
			}
		}
		if len(results) != 24 || w.RunningItems() != 0 || w.targets.Running() != 0 {
			t.Errorf("%d results, %d items busy, %d streams open", len(results), w.RunningItems(), w.targets.Running())
		}
		for _, name := range []identifier.TargetName{"a", "b", "c"} {
			if n := w.router.InFlight(name); n != 0 {
				t.Errorf("%d requests count as open at %s", n, name)
			}
		}
	})
}

// A text that no result can hold would never be listed, nor what waits behind it.
func TestRun_ATextWithoutEndIsDroppedAndMadeElsewhere(t *testing.T) {
	b := func(_ cataloger.Target, c sender.Call, n int) faker.Behaviour {
		b := good()
		if n == 0 {
			b.Events, b.EventBytes = 1<<40, 32<<10
		}
		return b
	}
	inWorld(t, false, b, func(t *testing.T, w *world) {
		w.submit(t, 4)
		time.Sleep(15 * time.Second)
		results := w.results(t)
		for id, r := range results {
			if !bytes.Equal(r.Text, wholeText(20)) {
				t.Errorf("%s: %d bytes", id, len(r.Text))
			}
		}
		if len(results) != 4 || w.targets.Running() != 0 {
			t.Errorf("%d results, %d streams open", len(results), w.targets.Running())
		}
	})
}

// A step of a third long items, at two engines and one that is 1.3 times slower, as
// on the users' large site. The step is done when the longest item is.
func TestRun_TheLongestItemsOfAStepRunAtTheFastEngines(t *testing.T) {
	const (
		fast, slow  = 60 * time.Millisecond, 78 * time.Millisecond
		short, long = 8, 70
		// margin is for scoring, listing and a move with the event it breaks off.
		margin = 500 * time.Millisecond
	)
	isLong := func(id string) bool { return id == "i04" || id == "i07" || id == "i11" }
	b := func(target cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		b := faker.Behaviour{Events: short, Gap: fast, Version: 2}
		if target.Name == "c" {
			b.Gap = slow
		}
		if isLong(c.ID) {
			b.Events = long
		}
		return b
	}
	inWorld(t, false, b, func(t *testing.T, w *world) {
		for step, limit := range []time.Duration{long*fast + 16*(slow-fast) + margin, long*fast + margin} {
			id := identifier.JobID(fmt.Sprintf("step-%d", step))
			w.submitWith(t, id, 2, 12, func(i *jobstorer.Item) {
				i.ExpectedTokens = short
				if isLong(string(i.ID)) {
					i.ExpectedTokens = long
				}
			})
			begun := time.Now()
			for len(w.resultsOf(t, id)) < 12 && time.Since(begun) < 20*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(begun); took > limit {
				t.Errorf("step %d took %s, want at most %s; %s at the slow engine alone", step, took, limit, long*slow)
			}
			time.Sleep(8 * time.Second)
		}
	})
}

// Other owners' short items fill all slots of the engines, and as many again and
// again wait there, when a step comes. Its longest items wait for a slot and not for
// the others that wait, and decide when the step is done.
func TestRun_LongItemsDoNotWaitBehindShortOnesOfOtherOwners(t *testing.T) {
	const (
		gap         = 60 * time.Millisecond
		short, long = 8, 50
		// rounds is how many short items wait for each slot.
		rounds = 4
		// margin is for scoring and listing.
		margin = 300 * time.Millisecond
	)
	b := func(_ cataloger.Target, c sender.Call, _ int) faker.Behaviour {
		if c.ID == "i00" || c.ID == "i05" {
			return faker.Behaviour{Events: long, Gap: gap, Version: 2}
		}
		return faker.Behaviour{Events: short, Gap: gap, Version: 2}
	}
	inWorld(t, false, b, func(t *testing.T, w *world) {
		w.targets.LimitSlots(4)
		var others conc.WaitGroup
		for _, name := range []identifier.TargetName{"a", "b", "c"} {
			for n := range 4 * (1 + rounds) {
				others.Go(func() {
					id := fmt.Sprintf("other-%d", n)
					a, err := w.targets.Send(context.Background(), cataloger.Target{Name: name, Service: "engines"}, sender.Call{ID: id, Urgency: urgencyShort})
					if err != nil {
						t.Error(err)
						return
					}
					for events := w.targets.Events(a); err == nil; {
						_, err = events.Next()
					}
					a.Body.Close()
				})
			}
		}
		time.Sleep(10 * time.Millisecond)
		w.submitWith(t, "j", 2, 12, func(i *jobstorer.Item) {
			i.ExpectedTokens = short
			if i.ID == "i00" || i.ID == "i05" {
				i.ExpectedTokens = long
			}
		})
		begun := time.Now()
		done := func(id identifier.ItemID) bool { return len(w.results(t)[id].Text) > 0 }
		for (!done("i00") || !done("i05")) && time.Since(begun) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took, limit := time.Since(begun), (short+long)*gap+margin; took > limit {
			t.Errorf("the longest items took %s, want at most %s: a slot is free after %s", took, limit, short*gap)
		}
		time.Sleep(10 * time.Second)
		if n := len(w.results(t)); n != 12 {
			t.Errorf("%d of 12 items are done 10 s later", n)
		}
		others.Wait()
	})
}

func TestUrgency_ByLengthAmongTheItemsOfAJob(t *testing.T) {
	j := &job{}
	for n := range 12 {
		j.Items = append(j.Items, jobstorer.Item{MaxTokens: 1000, ExpectedTokens: identifier.TokenCount(10 * (n + 1))})
	}
	count := make(map[sender.Urgency]int)
	for n := range j.Items {
		task := &task{item: &j.Items[n], lengths: lengthsOf(j)}
		count[task.urgency()]++
		task.last = 3
		count[task.urgency()]++
	}
	want := map[sender.Urgency]int{
		urgencyLong: 2, urgencyMiddle: 4, urgencyShort: 6,
		urgencyLong - resumedLead: 2, urgencyMiddle - resumedLead: 4, urgencyShort - resumedLead: 6,
	}
	if diff := cmp.Diff(want, count); diff != "" {
		t.Error(diff)
	}
	lengthsOf(&job{}) // a job without items
}

// A trainer ends its step without the longest items. The engines that ran them are
// as good as before.
func TestRun_WhatIsBrokenOffAtTheEndSaysNothingOfItsEngine(t *testing.T) {
	inWorld(t, false, longText(2), func(t *testing.T, w *world) {
		w.submit(t, 6)
		time.Sleep(time.Second)
		if err := w.books.End(context.Background(), "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if n := w.targets.Running(); n != 0 {
			t.Fatalf("%d streams are still open", n)
		}
		for _, name := range []identifier.TargetName{"a", "b", "c"} {
			if s := w.router.Slowness(name); s > 1.1 {
				t.Errorf("engine %s counts as %.1f times slower than usual", name, s)
			}
		}
	})
}
